#include "src/scheduler/job_intake.h"

#include <utility>
#include <vector>

#include "src/scheduler/clock.h"
#include "src/scheduler/event_log.h"
#include "src/scheduler/signal.h"

namespace cowslipmast::sched {

namespace {

// An append takes 6 ms, and 30 ms from the far region; a slow store up to 80
// times as long. Callers wait 3 s in all.
constexpr Duration kAppendTimeout = std::chrono::milliseconds(900);
// How long a failed append speaks against trying the next one here.
constexpr Duration kSuspectFor = std::chrono::milliseconds(700);
constexpr Duration kForever = std::chrono::hours(24);

}  // namespace

struct JobIntake::Impl : std::enable_shared_from_this<JobIntake::Impl> {
  struct Waiter {
    Waiter(asio::io_context& io, KeyedRecord stored)
        : record(std::move(stored)), done(io) {}
    KeyedRecord record;
    WakeSignal done;
    IntakeResult result = IntakeResult::kUnknown;
  };
  using WaiterPtr = std::shared_ptr<Waiter>;

  Impl(asio::io_context& context, const StorePort& store_port)
      : io(context), store(store_port) {}

  asio::awaitable<void> Flush();
  asio::awaitable<IntakeResult> Append(std::vector<KeyedRecord> records);

  asio::io_context& io;
  StorePort store;
  std::vector<WaiterPtr> waiting;
  bool flushing = false;
  std::optional<TimePoint> failed_at;
};

asio::awaitable<IntakeResult> JobIntake::Impl::Append(
    std::vector<KeyedRecord> records) {
  AppendRequest request;
  request.topic = Topic::kJobs;
  request.records = std::move(records);
  request.timeout = kAppendTimeout;
  StoreError error;
  const bool stored = co_await store.append(std::move(request), error);
  if (stored) {
    failed_at.reset();
    co_return IntakeResult::kStored;
  }
  LogEvent("intake_append_failed", {{"detail", error.detail}});
  failed_at = MonotonicNow();
  co_return error.kind == StoreErrorKind::kUnavailable ? IntakeResult::kRefused
                                                       : IntakeResult::kUnknown;
}

asio::awaitable<void> JobIntake::Impl::Flush() {
  const auto self = shared_from_this();
  while (!waiting.empty()) {
    const std::vector<WaiterPtr> batch = std::exchange(waiting, {});
    std::vector<KeyedRecord> records;
    records.reserve(batch.size());
    for (const WaiterPtr& waiter : batch)
      records.push_back(waiter->record);
    const IntakeResult result = co_await Append(std::move(records));
    for (const WaiterPtr& waiter : batch) {
      waiter->result = result;
      waiter->done.Notify();
    }
  }
  flushing = false;
}

JobIntake::JobIntake(std::shared_ptr<Impl> impl) : m_impl(std::move(impl)) {}
JobIntake::~JobIntake() = default;

std::shared_ptr<JobIntake> JobIntake::Make(asio::io_context& io,
                                           const StorePort& store) {
  return std::shared_ptr<JobIntake>(
      new JobIntake(std::make_shared<Impl>(io, store)));
}

asio::awaitable<IntakeResult> JobIntake::Store(KeyedRecord record) {
  const auto impl = m_impl;
  const auto waiter =
      std::make_shared<Impl::Waiter>(impl->io, std::move(record));
  impl->waiting.push_back(waiter);
  if (!impl->flushing) {
    impl->flushing = true;
    asio::co_spawn(impl->io, impl->Flush(), asio::detached);
  }
  co_await waiter->done.Wait(kForever);
  co_return waiter->result;
}

bool JobIntake::IsStoreAnswering() const {
  return !m_impl->failed_at ||
         MonotonicNow() - *m_impl->failed_at > kSuspectFor;
}

}  // namespace cowslipmast::sched
