#include "src/scheduler/topic_follower.h"

#include <utility>

#include "src/scheduler/clock.h"
#include "src/scheduler/event_log.h"

namespace cowslipmast::sched {

namespace {

// After an error; the store's answers take 4 ms, so this is no burden to it.
constexpr Duration kRetryAfter = std::chrono::milliseconds(150);

std::string_view TopicName(Topic topic) {
  switch (topic) {
    case Topic::kOperator:
      return "operator";
    case Topic::kWorkers:
      return "workers";
    case Topic::kJobs:
      return "jobs";
    case Topic::kProgress:
      return "progress";
    case Topic::kOwner:
      return "owner";
  }
  return "";
}

}  // namespace

struct TopicFollower::Impl : std::enable_shared_from_this<TopicFollower::Impl> {
  Impl(const StorePort& store_port,
       Topic followed,
       FollowTiming follow_timing,
       OnRecords callback)
      : store(store_port),
        topic(followed),
        timing(follow_timing),
        on_records(std::move(callback)) {}

  asio::awaitable<void> Run();
  asio::awaitable<bool> ReadAll();
  asio::awaitable<bool> ReadNext();
  void Begin(const TopicSnapshot& snapshot, TimePoint asked);
  void NoteError(const StoreError& error);
  void NoteAnswer(TimePoint asked);

  StorePort store;
  Topic topic;
  FollowTiming timing;
  OnRecords on_records;
  Records newest;
  uint64_t next = 0;
  bool complete = false;
  bool stopped = false;
  bool failing = false;
  std::optional<TimePoint> answered;
};

void TopicFollower::Impl::NoteError(const StoreError& error) {
  if (!failing) {
    LogEvent("store_lost",
             {{"topic", TopicName(topic)}, {"detail", error.detail}});
  }
  failing = true;
}

void TopicFollower::Impl::NoteAnswer(TimePoint asked) {
  if (failing)
    LogEvent("store_regained", {{"topic", TopicName(topic)}});
  failing = false;
  answered = asked;
}

void TopicFollower::Impl::Begin(const TopicSnapshot& snapshot,
                                TimePoint asked) {
  NoteAnswer(asked);
  newest.clear();
  for (const KeyedRecord& record : snapshot.records)
    newest[record.key] = record.value;
  next = snapshot.end;
  complete = true;
}

asio::awaitable<bool> TopicFollower::Impl::ReadAll() {
  StoreError error;
  const TimePoint asked = MonotonicNow();
  std::optional<TopicSnapshot> snapshot =
      co_await store.read_newest(topic, error);
  if (stopped)
    co_return false;
  if (!snapshot) {
    NoteError(error);
    co_return false;
  }
  Begin(*snapshot, asked);
  on_records(newest, snapshot->records);
  co_return true;
}

asio::awaitable<bool> TopicFollower::Impl::ReadNext() {
  StoreError error;
  const TimePoint asked = MonotonicNow();
  std::optional<TopicSnapshot> added =
      co_await store.follow(topic, next, timing.wait, error);
  if (stopped)
    co_return false;
  if (!added) {
    if (error.kind == StoreErrorKind::kTrimmed) {
      complete = false;
      co_return true;
    }
    NoteError(error);
    co_return false;
  }
  NoteAnswer(asked);
  next = added->end;
  if (added->records.empty())
    co_return true;
  for (const KeyedRecord& record : added->records) {
    if (record.value.empty())
      newest.erase(record.key);
    else
      newest[record.key] = record.value;
  }
  on_records(newest, added->records);
  co_await Sleep(timing.gap);
  co_return true;
}

asio::awaitable<void> TopicFollower::Impl::Run() {
  const auto self = shared_from_this();
  while (!stopped) {
    bool answered_now = false;
    if (complete)
      answered_now = co_await ReadNext();
    else
      answered_now = co_await ReadAll();
    if (!answered_now && !stopped)
      co_await Sleep(kRetryAfter);
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
    Topic topic,
    FollowTiming timing,
    OnRecords on_records,
    std::optional<FollowStart> start) {
  auto impl =
      std::make_shared<Impl>(store, topic, timing, std::move(on_records));
  if (start)
    impl->Begin(start->snapshot, start->asked);
  asio::co_spawn(io, impl->Run(), asio::detached);
  return std::unique_ptr<TopicFollower>(new TopicFollower(std::move(impl)));
}

std::optional<Duration> TopicFollower::Age() const {
  if (!m_impl->answered)
    return std::nullopt;
  return MonotonicNow() - *m_impl->answered;
}

}  // namespace cowslipmast::sched
