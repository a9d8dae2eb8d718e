#include <algorithm>
#include <utility>

#include "src/net/stream_follower_impl.h"

namespace cowslipmast {

namespace {

/** Limits the snapshot frequency on a store that keeps few entries. */
constexpr uint64_t kMinSnapshotEntries = 8;

}  // namespace

asio::awaitable<void> StreamFollower::Impl::AppendLoop() {
  const auto self = shared_from_this();
  boost::system::error_code ignored;
  while (!stopped) {
    if (queue.Begin()) {
      co_await AppendUntilReadBack();
      continue;
    }
    append_timer.expires_at(SteadyTime::max());
    co_await append_timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
  }
}

asio::awaitable<void> StreamFollower::Impl::AppendUntilReadBack() {
  Backoff backoff(limits.min_backoff, limits.max_backoff);
  const bool once = queue.is_snapshot_in_flight();
  counters.records_appended += queue.records_in_flight();
  while (!stopped && queue.in_flight()) {
    ++counters.appends;
    NetError reason;
    std::string bytes = *queue.in_flight();
    const std::optional<LogOffset> offset = co_await log.Append(
        stream, std::move(bytes), limits.call_timeout, reason);
    if (stopped)
      co_return;
    if (!offset)
      ++counters.append_failures;
    const Duration wait =
        offset ? limits.read_back_timeout : backoff.Next(random);
    const bool read_back = co_await WaitForReadBack(wait);
    // Drops a failed snapshot, so that it does not block the queue; a later one
    // replaces it.
    if (once && !read_back) {
      queue.Abandon();
      co_return;
    }
  }
}

asio::awaitable<bool> StreamFollower::Impl::WaitForReadBack(Duration timeout) {
  const SteadyTime until = std::chrono::steady_clock::now() + timeout;
  boost::system::error_code ignored;
  // A new append also wakes this timer.
  while (!stopped && queue.in_flight() &&
         std::chrono::steady_clock::now() < until) {
    append_timer.expires_at(until);
    co_await append_timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
  }
  co_return !queue.in_flight();
}

bool StreamFollower::Impl::NeedsSnapshot() const {
  if (!IsComplete() || !caught_up)
    return false;
  uint64_t limit = limits.snapshot_entries;
  // The store has dropped entries, so the remaining ones show its retention.
  if (known_oldest > LogOffset()) {
    const uint64_t kept = known_end.value() - known_oldest.value();
    limit = std::min(limit, std::max(kept / 4, kMinSnapshotEntries));
  }
  return fold.next().value() > last_snapshot.value() + limit;
}

void StreamFollower::Impl::ScheduleSnapshot() {
  if (stopped || snapshot_scheduled || !NeedsSnapshot())
    return;
  snapshot_scheduled = true;
  const auto spread = static_cast<size_t>(limits.max_snapshot_delay.count());
  const Duration delay(RandomBelow(random, spread + 1));
  asio::co_spawn(io, SnapshotAfterDelay(delay), asio::detached);
}

// The random delay lets one process write the snapshot before the others try.
asio::awaitable<void> StreamFollower::Impl::SnapshotAfterDelay(Duration delay) {
  const auto self = shared_from_this();
  boost::system::error_code ignored;
  snapshot_timer.expires_after(delay);
  co_await snapshot_timer.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  if (stopped)
    co_return;
  std::string state = NeedsSnapshot() ? fold.encode_snapshot() : std::string();
  if (!state.empty()) {
    ++counters.snapshots;
    const LogOffset through(fold.next().value() - 1);
    queue.PushSnapshot({through, std::move(state)});
    append_timer.cancel();
    snapshot_timer.expires_after(limits.snapshot_pause);
    co_await snapshot_timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
  }
  snapshot_scheduled = false;
}

}  // namespace cowslipmast
