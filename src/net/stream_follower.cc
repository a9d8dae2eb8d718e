#include "src/net/stream_follower.h"

#include <algorithm>
#include <utility>

#include "src/net/stream_follower_impl.h"

namespace cowslipmast {

StreamFollower::Impl::Impl(asio::io_context& io_context,
                           LogClient& log_client,
                           StreamId stream_id,
                           const ProducerId& producer,
                           uint64_t seed,
                           StreamFold stream_fold,
                           const StreamFollowerLimits& follower_limits)
    : io(io_context),
      log(log_client),
      stream(std::move(stream_id)),
      random(seed),
      fold(std::move(stream_fold)),
      limits(follower_limits),
      queue(producer,
            {limits.queued_records, limits.queued_bytes, limits.batch_bytes}),
      recent(limits.recent_entries, limits.recent_bytes),
      page_entries(limits.page_entries),
      read_backoff(limits.min_backoff, limits.max_backoff),
      read_timer(io),
      append_timer(io),
      snapshot_timer(io) {}

asio::awaitable<void> StreamFollower::Impl::Sleep(Duration duration) {
  boost::system::error_code ignored;
  read_timer.expires_after(duration);
  co_await read_timer.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<void> StreamFollower::Impl::WaitForNewEntries(Duration wait) {
  const auto timer = std::make_shared<asio::steady_timer>(io, wait);
  served_peer_timers.insert(timer);
  boost::system::error_code ignored;
  co_await timer->async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  served_peer_timers.erase(timer);
}

void StreamFollower::Impl::WakeServedPeers() {
  for (const TimerPtr& timer : served_peer_timers)
    timer->cancel();
}

StreamFollower::StreamFollower(std::shared_ptr<Impl> impl)
    : m_impl(std::move(impl)) {}

StreamFollower::~StreamFollower() {
  Stop();
}

std::unique_ptr<StreamFollower> StreamFollower::Make(
    asio::io_context& io,
    LogClient& log,
    StreamId stream,
    ProducerId producer,
    uint64_t seed,
    StreamFold fold,
    const StreamFollowerLimits& limits) {
  auto impl = std::make_shared<Impl>(io, log, std::move(stream), producer, seed,
                                     std::move(fold), limits);
  return std::unique_ptr<StreamFollower>(new StreamFollower(std::move(impl)));
}

void StreamFollower::Start() {
  if (std::exchange(m_impl->started, true))
    return;
  asio::co_spawn(m_impl->io, m_impl->ReadLoop(), asio::detached);
  asio::co_spawn(m_impl->io, m_impl->AppendLoop(), asio::detached);
}

void StreamFollower::Stop() {
  if (std::exchange(m_impl->stopped, true))
    return;
  m_impl->read_timer.cancel();
  m_impl->append_timer.cancel();
  m_impl->snapshot_timer.cancel();
  m_impl->WakeServedPeers();
  for (const Impl::TimerPtr& timer : m_impl->pending_append_timers)
    timer->cancel();
}

void StreamFollower::SetPeerSource(PeerPageSource source) {
  m_impl->peer_source = std::move(source);
}

asio::awaitable<bool> StreamFollower::Append(std::vector<Record> records,
                                             Duration timeout,
                                             AppendError& reason) {
  const std::shared_ptr<Impl> impl = m_impl;
  if (impl->stopped) {
    reason = {AppendErrorKind::kStopped};
    co_return false;
  }
  const auto pending = std::make_shared<PendingAppend>();
  const auto timer = std::make_shared<asio::steady_timer>(impl->io, timeout);
  pending->records = std::move(records);
  pending->on_done = [timer] { timer->cancel(); };
  const AppendQueue::PushResult result = impl->queue.Push(pending);
  if (result != AppendQueue::PushResult::kQueued) {
    reason = {result == AppendQueue::PushResult::kFull
                  ? AppendErrorKind::kQueueFull
                  : AppendErrorKind::kTooLarge};
    co_return false;
  }
  impl->append_timer.cancel();
  impl->pending_append_timers.insert(timer);
  boost::system::error_code ignored;
  co_await timer->async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  impl->pending_append_timers.erase(timer);
  if (!pending->done)
    reason = {impl->stopped ? AppendErrorKind::kStopped
                            : AppendErrorKind::kTimeout};
  co_return pending->done;
}

bool StreamFollower::caught_up() const {
  return m_impl->caught_up;
}

std::optional<std::chrono::steady_clock::time_point> StreamFollower::proof()
    const {
  return m_impl->proof;
}

const StreamFollowerCounters& StreamFollower::counters() const {
  return m_impl->counters;
}

asio::awaitable<std::optional<LogPage>>
StreamFollower::ServePeer(LogOffset from, uint32_t max_entries, Duration wait) {
  const std::shared_ptr<Impl> impl = m_impl;
  if (impl->stopped || from > impl->fold.next())
    co_return std::nullopt;
  if (from == impl->fold.next())
    co_await impl->WaitForNewEntries(std::min<Duration>(wait, kMaxPeerWait));
  if (impl->stopped)
    co_return std::nullopt;
  LogPage page;
  const LogOffset next = impl->fold.next();
  if (from < next) {
    auto entries = impl->recent.From(from, max_entries);
    if (!entries)
      co_return std::nullopt;
    page.entries = std::move(*entries);
  }
  // The cache may hold older entries than the store.
  page.oldest = std::min(impl->known_oldest, from);
  page.end = std::max(next, impl->known_end);
  // Without a proof the page has the maximum age.
  page.asked_at = impl->proof.value_or(SteadyTime());
  co_return page;
}

}  // namespace cowslipmast
