#include "src/scheduler_process/job_intake.h"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

#include "src/sched/admission.h"
#include "src/scheduler_process/clock.h"
#include "src/scheduler_process/event_log.h"
#include "src/scheduler_process/spawn.h"
#include "src/scheduler_process/wake_signal.h"

namespace cowslipmast::sched {

namespace {

// An append takes 6 ms, and 30 ms from the far region. A slow store takes up to
// 100 times as long, and 0.2 s more for each append queued before it. Callers
// wait 3 s in all.
constexpr Duration kAppendTimeout = std::chrono::milliseconds(2200);
// An append that takes longer counts as slow: eight times the 30 ms of the far
// region.
constexpr Duration kSlowAppendThreshold = std::chrono::milliseconds(250);
// After a slow append the store counts as slow for this long; a store is slow
// for some seconds.
constexpr Duration kSlowAppendPause = std::chrono::milliseconds(1000);
// Half of the largest request body that the store accepts.
constexpr size_t kMaxAppendBytes = 1024 * 1024;

using PendingRecordPtr = std::shared_ptr<PendingRecord>;

// Takes the records of the next append, in their order.
std::vector<PendingRecordPtr> TakeBatch(
    std::vector<PendingRecordPtr>& waiting) {
  size_t bytes = 0;
  auto end = waiting.begin();
  for (; end != waiting.end() && bytes < kMaxAppendBytes; ++end)
    bytes += (*end)->bytes;
  std::vector<PendingRecordPtr> batch(waiting.begin(), end);
  waiting.erase(waiting.begin(), end);
  return batch;
}

}  // namespace

struct JobIntake::Impl : std::enable_shared_from_this<JobIntake::Impl> {
  Impl(asio::io_context& context,
       const StorePort& store_port,
       const SchedulerFeatures& enabled)
      : io(context), store(store_port), features(enabled) {}

  struct Queue {
    std::vector<PendingRecordPtr> waiting;
    bool flushing = false;
    std::optional<TimePoint> sent_at;  // start of the append in progress
  };

  asio::awaitable<void> Flush(CellId cell);
  asio::awaitable<IntakeResult> Append(CellId cell,
                                       std::vector<KeyedRecord> records);
  StoreCondition Condition() const;
  void RefuseWaiting(Queue& queue);
  void Settle(PendingRecord& pending, IntakeResult result);

  asio::io_context& io;
  StorePort store;
  SchedulerFeatures features;
  std::map<CellId, Queue> queues;
  size_t unstored_bytes = 0;  // of records without a result
  std::optional<TimePoint> failed_at;
  std::optional<TimePoint> slow_at;
};

asio::awaitable<IntakeResult> JobIntake::Impl::Append(
    CellId cell,
    std::vector<KeyedRecord> records) {
  AppendRequest request;
  request.stream = StoreStream(StoreTopic::kJobs, cell);
  request.records = std::move(records);
  request.timeout = kAppendTimeout;
  StoreError error;
  const TimePoint sent_time = MonotonicNow();
  queues[cell].sent_at = sent_time;
  const bool stored = co_await store.append(std::move(request), error);
  queues[cell].sent_at.reset();
  const TimePoint now = MonotonicNow();
  slow_at = now - sent_time > kSlowAppendThreshold ? std::optional(now)
                                                   : std::nullopt;
  if (stored) {
    failed_at.reset();
    co_return IntakeResult::kStored;
  }
  LogEvent("intake_append_failed",
           {{"cell", static_cast<int64_t>(cell.value())},
            {"detail", error.detail},
            {"took_ms", ToMillis(now - sent_time)}});
  failed_at = now;
  co_return error.kind == StoreErrorKind::kUnavailable ? IntakeResult::kRefused
                                                       : IntakeResult::kUnknown;
}

StoreCondition JobIntake::Impl::Condition() const {
  const TimePoint now = MonotonicNow();
  StoreCondition condition;
  if (failed_at)
    condition.failed_ago = now - *failed_at;
  for (const auto& [cell, queue] : queues) {
    if (queue.sent_at)
      condition.longest_append =
          std::max(condition.longest_append, now - *queue.sent_at);
  }
  return condition;
}

// Ends the wait of records that no append has contained.
void JobIntake::Impl::RefuseWaiting(Queue& queue) {
  if (!queue.waiting.empty())
    LogEvent("intake_withdrawn",
             {{"records", static_cast<int64_t>(queue.waiting.size())}});
  for (const PendingRecordPtr& pending : std::exchange(queue.waiting, {}))
    Settle(*pending, IntakeResult::kRefused);
}

void JobIntake::Impl::Settle(PendingRecord& pending, IntakeResult result) {
  unstored_bytes -= pending.bytes;
  pending.result = result;
  pending.done.Notify();
}

asio::awaitable<void> JobIntake::Impl::Flush(CellId cell) {
  const auto self = shared_from_this();
  Queue& queue = queues[cell];
  while (!queue.waiting.empty()) {
    const std::vector<PendingRecordPtr> batch = TakeBatch(queue.waiting);
    std::vector<KeyedRecord> records;
    records.reserve(batch.size());
    for (const PendingRecordPtr& pending : batch) {
      pending->is_sent = true;
      records.push_back(std::move(pending->record));
    }
    const IntakeResult result = co_await Append(cell, std::move(records));
    for (const PendingRecordPtr& pending : batch)
      Settle(*pending, result);
    if (features.admission && result != IntakeResult::kStored)
      RefuseWaiting(queue);
  }
  queue.flushing = false;
}

JobIntake::JobIntake(std::shared_ptr<Impl> impl) : m_impl(std::move(impl)) {}
JobIntake::~JobIntake() = default;

std::shared_ptr<JobIntake> JobIntake::Make(asio::io_context& io,
                                           const StorePort& store,
                                           const SchedulerFeatures& features) {
  return std::shared_ptr<JobIntake>(
      new JobIntake(std::make_shared<Impl>(io, store, features)));
}

std::shared_ptr<PendingRecord> JobIntake::Append(CellId cell,
                                                 KeyedRecord record) {
  auto pending = std::make_shared<PendingRecord>(m_impl->io, std::move(record));
  if (pending->bytes > kMaxUnstoredBytes - m_impl->unstored_bytes) {
    pending->result = IntakeResult::kRefused;
    return pending;
  }
  m_impl->unstored_bytes += pending->bytes;
  Impl::Queue& queue = m_impl->queues[cell];
  queue.waiting.push_back(pending);
  if (!std::exchange(queue.flushing, true))
    Spawn(m_impl->io, "job_intake", m_impl->Flush(cell));
  return pending;
}

bool JobIntake::Withdraw(CellId cell, PendingRecord& pending) {
  if (pending.is_sent || pending.result)
    return pending.result == IntakeResult::kRefused;
  std::erase_if(m_impl->queues[cell].waiting,
                [&pending](const PendingRecordPtr& waiting) {
                  return waiting.get() == &pending;
                });
  m_impl->Settle(pending, IntakeResult::kRefused);
  LogEvent("intake_withdrawn", {{"records", int64_t{1}}});
  return true;
}

bool JobIntake::IsStoreResponding() const {
  StoreCondition condition = m_impl->Condition();
  // An append that is only slow does not count without the feature.
  if (!m_impl->features.admission)
    condition.longest_append = Duration(0);
  return !IsStoreStalled(condition);
}

bool JobIntake::IsStoreFast() const {
  const TimePoint now = MonotonicNow();
  const bool was_slow =
      m_impl->slow_at && now - *m_impl->slow_at < kSlowAppendPause;
  const bool is_slow = std::any_of(
      m_impl->queues.begin(), m_impl->queues.end(), [now](const auto& entry) {
        const auto& sent_at = entry.second.sent_at;
        return sent_at && now - *sent_at > kSlowAppendThreshold;
      });
  return !was_slow && !is_slow;
}

asio::awaitable<std::optional<IntakeResult>> AwaitResult(
    std::shared_ptr<PendingRecord> pending,
    Duration limit) {
  if (!pending->result && limit.count() > 0)
    co_await pending->done.Wait(limit);
  co_return pending->result;
}

}  // namespace cowslipmast::sched
