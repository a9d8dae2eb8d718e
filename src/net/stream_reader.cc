#include <algorithm>
#include <utility>
#include <variant>

#include "cowslipmast/codec.h"
#include "src/net/stream_follower_impl.h"

namespace cowslipmast {

asio::awaitable<void> StreamFollower::Impl::ReadLoop() {
  const auto self = shared_from_this();
  while (!stopped) {
    const SteadyTime start = std::chrono::steady_clock::now();
    const LogOffset before = fold.next();
    const std::optional<LogPage> page = co_await ReadPage();
    if (stopped)
      co_return;
    if (!page || !ApplyPage(*page)) {
      ++counters.read_failures;
      co_await Sleep(read_backoff.Next(random));
      continue;
    }
    read_backoff.Reset();
    // Limits the rate of reads if the store does not block long polls.
    const auto taken = std::chrono::steady_clock::now() - start;
    if (fold.next() == before && taken < limits.min_read_interval)
      co_await Sleep(limits.min_read_interval);
  }
}

asio::awaitable<std::optional<LogPage>> StreamFollower::Impl::ReadPage() {
  if (peer_source && peer_read.expired()) {
    std::optional<LogPage> page = co_await ReadPeer();
    if (stopped)
      co_return std::nullopt;
    if (page && IsUsefulPage(*page)) {
      ++counters.peer_reads;
      co_return page;
    }
  }
  std::optional<LogPage> page = co_await ReadStore();
  co_return page;
}

asio::awaitable<std::optional<LogPage>> StreamFollower::Impl::ReadStore() {
  ++counters.reads;
  NetError reason;
  std::optional<LogPage> page =
      co_await log.Read(stream, fold.next(), page_entries, limits.poll_wait,
                        limits.poll_wait + limits.call_timeout, reason);
  // A single entry always fits into the response size limit of the client.
  if (page)
    page_entries = std::min(page_entries * 2, limits.page_entries);
  else if (reason.kind == NetErrorKind::kResponseTooLarge)
    page_entries = std::max(page_entries / 4, 1U);
  co_return page;
}

// After the timeout a read from an unresponsive peer is abandoned; no further
// read from a peer is started until it has ended.
asio::awaitable<std::optional<LogPage>> StreamFollower::Impl::ReadPeer() {
  const auto read = std::make_shared<PeerRead>(io);
  peer_read = read;
  read->timer.expires_after(limits.poll_wait + limits.call_timeout);
  asio::co_spawn(io, RunPeerRead(read), asio::detached);
  boost::system::error_code ignored;
  if (!read->done)
    co_await read->timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
  co_return std::move(read->page);
}

asio::awaitable<void> StreamFollower::Impl::RunPeerRead(
    std::shared_ptr<PeerRead> read) {
  const auto self = shared_from_this();
  std::optional<LogPage> page = co_await peer_source(
      stream, fold.next(), limits.page_entries, limits.poll_wait);
  read->page = std::move(page);
  read->done = true;
  read->timer.cancel();
}

bool StreamFollower::Impl::IsUsefulPage(const LogPage& page) const {
  const LogOffset next = fold.next();
  if (!page.entries.empty() && page.entries.back().offset >= next)
    return true;
  const auto age = std::chrono::steady_clock::now() - page.asked_at;
  return page.end >= next && age <= limits.max_peer_age;
}

bool StreamFollower::Impl::ApplyPage(const LogPage& page) {
  const LogOffset before = fold.next();
  if (page.expired || page.oldest > before)
    return Restart(page.oldest);
  // The store has lost entries, or it is a different store.
  if (page.end < before)
    return false;
  for (const LogEntry& entry : page.entries) {
    if (entry.offset < fold.next())
      continue;
    if (entry.offset > fold.next())
      break;
    ApplyEntry(entry);
  }
  known_oldest = std::max(known_oldest, page.oldest);
  known_end = std::max(known_end, page.end);
  UpdateProof(page);
  if (fold.next() != before && fold.changed)
    fold.changed();
  WakeServedPeers();
  ScheduleSnapshot();
  return page.entries.empty() || fold.next() != before;
}

bool StreamFollower::Impl::Restart(LogOffset oldest) {
  if (oldest <= fold.next())
    return false;
  ++counters.restarts;
  recent.Clear();
  proof.reset();
  known_oldest = oldest;
  last_snapshot = oldest;
  fold.restart(oldest);
  return true;
}

void StreamFollower::Impl::ApplyEntry(const LogEntry& entry) {
  ++counters.entries;
  fold.apply(entry);
  recent.Add(entry);
  InspectEntry(entry);
}

// While the state lacks a snapshot, entries are buffered and not folded, so a
// batch of this process does not count as read back. It is appended again and
// then recognised as a duplicate.
void StreamFollower::Impl::InspectEntry(const LogEntry& entry) {
  DecodeError reason;
  const std::optional<Batch> batch = DecodeBatch(entry.data, reason);
  if (!batch)
    return;
  for (const Record& record : batch->records) {
    if (const auto* snapshot = std::get_if<Snapshot>(&record))
      last_snapshot = std::max(last_snapshot, snapshot->through);
  }
  if (!IsComplete())
    return;
  const AppendQueue::ReadBackMatch match = queue.CompleteIfReadBack(*batch);
  if (match == AppendQueue::ReadBackMatch::kRepeated)
    ++counters.duplicates;
  if (match == AppendQueue::ReadBackMatch::kInFlight)
    append_timer.cancel();
}

void StreamFollower::Impl::UpdateProof(const LogPage& page) {
  if (fold.next() < page.end || !IsComplete())
    return;
  caught_up = true;
  if (!proof || page.asked_at > *proof)
    proof = page.asked_at;
}

}  // namespace cowslipmast
