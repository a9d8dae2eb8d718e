#include "src/scheduler/progress_writer.h"

#include <algorithm>
#include <utility>

#include "src/scheduler/clock.h"
#include "src/scheduler/event_log.h"

namespace cowslipmast::sched {

namespace {

// An append takes 6 ms; one whose answer was lost is worth repeating soon, and
// one to a slow store gets longer each time.
constexpr Duration kFirstTimeout = std::chrono::milliseconds(350);
constexpr Duration kLastTimeout = std::chrono::milliseconds(1500);
constexpr Duration kRetryAfter = std::chrono::milliseconds(100);
// Half of what the store takes in one call.
constexpr size_t kMaxCallBytes = 1024 * 1024;

}  // namespace

ProgressWriter::ProgressWriter(const StorePort& store, Epoch epoch)
    : m_store(store), m_epoch(epoch) {}

asio::awaitable<bool> ProgressWriter::AppendUntilAnswered(
    AppendRequest request) {
  request.topic = Topic::kProgress;
  request.producer = ProducerStamp{m_epoch.value(), m_sequence++};
  request.timeout = kFirstTimeout;
  while (!m_abandoned) {
    const TimePoint sent = MonotonicNow();
    StoreError error;
    const bool taken = co_await m_store.append(request, error);
    if (taken) {
      m_proven_at = sent;
      co_return true;
    }
    LogEvent("progress_append_failed",
             {{"epoch", static_cast<int64_t>(m_epoch.value())},
              {"sequence", static_cast<int64_t>(request.producer->sequence)},
              {"detail", error.detail}});
    if (error.kind == StoreErrorKind::kFenced)
      co_return false;
    request.timeout = std::min(kLastTimeout, request.timeout * 2);
    co_await Sleep(kRetryAfter);
  }
  co_return false;
}

asio::awaitable<bool> ProgressWriter::Fence() {
  AppendRequest request;
  co_return co_await AppendUntilAnswered(std::move(request));
}

asio::awaitable<bool> ProgressWriter::Store(
    std::vector<ProgressRecord> records) {
  size_t next = 0;
  while (next < records.size()) {
    AppendRequest request;
    size_t bytes = 0;
    while (next < records.size() && bytes < kMaxCallBytes) {
      bytes += records[next].key.size() + records[next].value.size();
      request.records.push_back(KeyedRecord{std::move(records[next].key),
                                            std::move(records[next].value)});
      ++next;
    }
    const bool taken = co_await AppendUntilAnswered(std::move(request));
    if (!taken)
      co_return false;
  }
  co_return true;
}

}  // namespace cowslipmast::sched
