#include "src/scheduler_process/topic_follower.h"

#include <utility>

#include "src/scheduler_process/clock.h"
#include "src/scheduler_process/event_log.h"
#include "src/scheduler_process/spawn.h"

namespace cowslipmast::sched {

namespace {

// Delay after an error. The store responds in 4 ms, so retries at this rate are
// no load on it.
constexpr Duration kRetryDelay = std::chrono::milliseconds(150);

std::string_view TopicName(StoreTopic topic) {
  switch (topic) {
    case StoreTopic::kOperator:
      return "operator";
    case StoreTopic::kWorkers:
      return "workers";
    case StoreTopic::kJobs:
      return "jobs";
    case StoreTopic::kProgress:
      return "progress";
    case StoreTopic::kOwner:
      return "owner";
  }
  return "";
}

}  // namespace

struct TopicFollower::Impl : std::enable_shared_from_this<TopicFollower::Impl> {
  Impl(const StorePort& store_port,
       StoreStream followed,
       FollowTiming follow_timing,
       OnRecords callback)
      : store(store_port),
        stream(followed),
        timing(follow_timing),
        on_records(std::move(callback)) {}

  asio::awaitable<void> Run();
  asio::awaitable<bool> ReadNewest();
  asio::awaitable<bool> ReadAdded();
  void StartFrom(const TopicSnapshot& snapshot, TimePoint requested_at);
  void KeepNewest(const std::vector<KeyedRecord>& records);
  void HandleError(const StoreError& error);
  void HandleResponse(TimePoint requested_at);

  StorePort store;
  StoreStream stream;
  FollowTiming timing;
  OnRecords on_records;
  Records newest;
  uint64_t next_offset = 0;
  bool has_snapshot = false;
  bool stopped = false;
  bool store_failing = false;
  std::optional<TimePoint> last_request_at;
};

void TopicFollower::Impl::HandleError(const StoreError& error) {
  if (!store_failing) {
    LogEvent("store_lost", {{"topic", TopicName(stream.topic)},
                            {"cell", static_cast<int64_t>(stream.cell.value())},
                            {"detail", error.detail}});
  }
  store_failing = true;
}

void TopicFollower::Impl::HandleResponse(TimePoint requested_at) {
  if (store_failing)
    LogEvent("store_regained",
             {{"topic", TopicName(stream.topic)},
              {"cell", static_cast<int64_t>(stream.cell.value())}});
  store_failing = false;
  last_request_at = requested_at;
}

void TopicFollower::Impl::KeepNewest(const std::vector<KeyedRecord>& records) {
  if (!timing.keeps_newest)
    return;
  for (const KeyedRecord& record : records) {
    if (record.value.empty())
      newest.erase(record.key);
    else
      newest[record.key] = record.value;
  }
}

void TopicFollower::Impl::StartFrom(const TopicSnapshot& snapshot,
                                    TimePoint requested_at) {
  HandleResponse(requested_at);
  newest.clear();
  KeepNewest(snapshot.records);
  next_offset = snapshot.end;
  has_snapshot = true;
}

asio::awaitable<bool> TopicFollower::Impl::ReadNewest() {
  StoreError error;
  const TimePoint requested_at = BootTimeNow();
  std::optional<TopicSnapshot> snapshot =
      co_await store.read_newest(stream, error);
  if (stopped)
    co_return false;
  if (!snapshot) {
    HandleError(error);
    co_return false;
  }
  StartFrom(*snapshot, requested_at);
  on_records(newest, snapshot->records);
  co_return true;
}

asio::awaitable<bool> TopicFollower::Impl::ReadAdded() {
  StoreError error;
  const TimePoint requested_at = BootTimeNow();
  std::optional<TopicSnapshot> added =
      co_await store.follow(stream, next_offset, timing.max_wait, error);
  if (stopped)
    co_return false;
  if (!added) {
    if (error.kind == StoreErrorKind::kTrimmed) {
      has_snapshot = false;
      co_return true;
    }
    if (error.kind == StoreErrorKind::kNoSuchTopic) {
      // The store answered: nobody has written a record yet.
      HandleResponse(requested_at);
      co_await Sleep(kRetryDelay);
      co_return true;
    }
    HandleError(error);
    co_return false;
  }
  HandleResponse(requested_at);
  next_offset = added->end;
  if (added->records.empty())
    co_return true;
  KeepNewest(added->records);
  on_records(newest, added->records);
  co_await Sleep(timing.pause_after_records);
  co_return true;
}

asio::awaitable<void> TopicFollower::Impl::Run() {
  const auto self = shared_from_this();
  while (!stopped) {
    bool progressed = false;
    if (has_snapshot)
      progressed = co_await ReadAdded();
    else
      progressed = co_await ReadNewest();
    if (!progressed && !stopped)
      co_await Sleep(kRetryDelay);
  }
}

TopicFollower::TopicFollower(std::shared_ptr<Impl> impl)
    : m_impl(std::move(impl)) {}

TopicFollower::~TopicFollower() {
  m_impl->stopped = true;
}

std::unique_ptr<TopicFollower> TopicFollower::Make(
    asio::io_context& io,
    const StorePort& store,
    StoreStream stream,
    FollowTiming timing,
    OnRecords on_records,
    std::optional<FollowStart> start) {
  auto impl =
      std::make_shared<Impl>(store, stream, timing, std::move(on_records));
  if (start)
    impl->StartFrom(start->snapshot, start->requested_at);
  Spawn(io, "topic_follower", impl->Run());
  return std::unique_ptr<TopicFollower>(new TopicFollower(std::move(impl)));
}

std::optional<Duration> TopicFollower::Age() const {
  if (!m_impl->last_request_at)
    return std::nullopt;
  return BootTimeNow() - *m_impl->last_request_at;
}

}  // namespace cowslipmast::sched
