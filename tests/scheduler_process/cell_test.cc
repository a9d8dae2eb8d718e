// A cell with a store and a worker in the test's thread. Guards against faults
// that only a cell shows whose first jobs are deleted again: short days end
// before that. And against ended tasks that run again after a slow restore.

#include "src/scheduler_process/cell.h"

#include <catch2/catch.hpp>
#include <map>

#include "cowslipmast/sched/cell_message.h"
#include "cowslipmast/sched/job_codec.h"
#include "src/scheduler_process/clock.h"

namespace cowslipmast::sched {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct StoredStream {
  std::vector<KeyedRecord> history;
  std::map<std::string, std::string> newest;
};

// Streams of keyed records whose appends a test can keep from being taken.
struct MemoryStore {
  StorePort MakePort() {
    StorePort port;
    port.append = [this](AppendRequest request, StoreError& error) {
      return Append(std::move(request), error);
    };
    port.read_newest =
        [this](StoreStream stream,
               StoreError&) -> asio::awaitable<std::optional<TopicSnapshot>> {
      co_await Sleep(read_delay[stream.topic]);
      TopicSnapshot snapshot;
      const StoredStream& stored = streams[stream.topic];
      snapshot.end = stored.history.size();
      for (const auto& [key, value] : stored.newest)
        snapshot.records.push_back({key, value});
      co_return snapshot;
    };
    port.follow = [this](StoreStream stream, uint64_t from, Duration wait,
                         StoreError& error) {
      return Follow(stream.topic, from, wait, error);
    };
    return port;
  }

  asio::awaitable<bool> Append(AppendRequest request, StoreError& error) {
    if (refused && *refused == request.stream.topic) {
      co_await Sleep(request.timeout);
      error.kind = StoreErrorKind::kUnknown;
      co_return false;
    }
    co_await Sleep(milliseconds(2));
    ++appends[request.stream.topic];
    for (const KeyedRecord& record : request.records)
      Put(request.stream.topic, record.key, record.value);
    co_return true;
  }

  asio::awaitable<std::optional<TopicSnapshot>> Follow(StoreTopic topic,
                                                       uint64_t from,
                                                       Duration wait,
                                                       StoreError& error) {
    const StoredStream& stored = streams[topic];
    const TimePoint limit = MonotonicNow() + wait;
    while (stored.history.size() <= from && MonotonicNow() < limit &&
           dropped_history != topic)
      co_await Sleep(milliseconds(5));
    if (dropped_history == topic) {
      dropped_history.reset();
      error.kind = StoreErrorKind::kTrimmed;
      co_return std::nullopt;
    }
    TopicSnapshot added;
    added.end = stored.history.size();
    added.records.assign(
        stored.history.begin() + static_cast<std::ptrdiff_t>(from),
        stored.history.end());
    co_return added;
  }

  void Put(StoreTopic topic, const std::string& key, const std::string& value) {
    StoredStream& stream = streams[topic];
    stream.history.push_back({key, value});
    if (value.empty())
      stream.newest.erase(key);
    else
      stream.newest[key] = value;
  }

  std::map<StoreTopic, StoredStream> streams;
  std::map<StoreTopic, int> appends;
  std::map<StoreTopic, Duration> read_delay;  // of the newest records
  /** Appends to this topic get no response. */
  std::optional<StoreTopic> refused;
  /** The next call that follows this topic learns that records were deleted. */
  std::optional<StoreTopic> dropped_history;
};

WorkerInfo MakeWorker() {
  WorkerInfo info;
  info.id = WorkerId("w");
  info.service = ServiceId("pool");
  info.capacity.cpu = MilliCores(64000);
  info.capacity.memory = Mebibytes(64000);
  return info;
}

JobDefinition MakeOneTaskJob(const std::string& id) {
  JobDefinition job;
  job.id = JobId(id);
  job.queue = QueueId("q");
  job.accepted = WallNow();
  StepSpec step;
  step.count = 1;
  step.need.cpu = MilliCores(1000);
  job.steps.push_back(step);
  return job;
}

struct RunningCell {
  RunningCell() {
    manifest.known = true;
    manifest.policy.queues[QueueId("q")] =
        QueuePolicy{.service = ServiceId("pool")};
    store.Put(StoreTopic::kWorkers, "w", "a worker");
    StartCell(Epoch(1), seconds(6));
    RunFor(milliseconds(200));
  }
  ~RunningCell() {
    cell->Stop();
    RunFor(milliseconds(1500));
  }

  // As an owner that claims the cell.
  void StartCell(Epoch epoch, Duration lease) {
    RecordDecoders decoders;
    decoders.worker = [](const KeyedRecord&) {
      return std::optional(MakeWorker());
    };
    CellOptions options;
    options.layout = {kLayoutVersion, 1};
    options.epoch = epoch;
    options.lease = lease;
    options.scheduler.ended_job_retention = ended_job_retention;
    CellHooks hooks;
    hooks.manifest = [this]() -> const Manifest& { return manifest; };
    hooks.own_lag = [] { return Duration(0); };
    hooks.on_lost = [this] { lost = true; };
    cell = Cell::Make(io, store.MakePort(), MakeWorkerPort(), decoders, options,
                      std::move(hooks));
    cell->Start();
  }

  WorkerPort MakeWorkerPort() {
    WorkerPort workers;
    workers.list = [this](const WorkerInfo&, ListRequest request,
                          WorkerCallError& error)
        -> asio::awaitable<std::optional<WorkerListing>> {
      co_await Sleep(std::max<Duration>(request.wait, milliseconds(5)));
      if (lost_listings > 0) {
        --lost_listings;
        error = WorkerCallError::kNoResponse;
        co_return std::nullopt;
      }
      WorkerListing listing;
      listing.clock = WorkerClock(ToMillis(MonotonicNow().time_since_epoch()));
      listing.start_time_ms = 1;
      listing.running = running;
      listing.ended = ended;
      co_return listing;
    };
    workers.start = [this](WorkerInfo, StartRunCommand command, uint64_t,
                           WorkerClock) -> asio::awaitable<StartOutcome> {
      running.push_back({.task = command.task,
                         .run = command.run,
                         .checkpoint = "",
                         .percent = 0,
                         .load = std::nullopt});
      ++starts;
      co_return StartOutcome{true, {}};
    };
    workers.stop = [](WorkerInfo, StopRunCommand,
                      uint64_t) -> asio::awaitable<bool> { co_return true; };
    workers.pace = [](WorkerInfo, PaceCommand,
                      uint64_t) -> asio::awaitable<bool> { co_return true; };
    workers.drop_connections = [](const WorkerInfo&) {};
    return workers;
  }

  void Submit(const std::string& id) {
    store.Put(StoreTopic::kJobs, SubmissionKey(JobId(id)),
              EncodeJob(MakeOneTaskJob(id)));
  }
  void Cancel(const std::string& id) {
    store.Put(StoreTopic::kJobs, CancellationKey(JobId(id)), "1");
  }
  void RunFor(Duration duration) {
    io.restart();
    io.run_for(duration);
  }
  void FinishRuns() {
    for (const ActiveRun& run : running)
      ended.push_back({.number = ended.size() + 1,
                       .task = run.task,
                       .run = run.run,
                       .outcome = RunOutcome::kDone,
                       .checkpoint = ""});
    running.clear();
  }
  size_t CountRecords(StoreTopic topic, const std::string& part) {
    size_t count = 0;
    for (const auto& [key, value] : store.streams[topic].newest)
      count += key.find(part) != std::string::npos ? 1 : 0;
    return count;
  }

  asio::io_context io;
  MemoryStore store;
  Manifest manifest;
  Duration ended_job_retention = milliseconds(300);
  std::shared_ptr<Cell> cell;
  std::vector<ActiveRun> running;
  std::vector<EndedRun> ended;
  int starts = 0;
  int lost_listings = 0;  // requests that get no response
  bool lost = false;
};

const char kFirst[] = "00000000000000a1";
const char kSecond[] = "00000000000000a2";

TEST_CASE("an ended job is deleted", "[scheduler-process][cell]") {
  RunningCell cell;
  cell.Cancel(kFirst);
  cell.Submit(kFirst);
  cell.RunFor(milliseconds(150));
  REQUIRE(cell.CountRecords(StoreTopic::kProgress, kFirst) == 1);
  REQUIRE(cell.cell->StatusOf(JobId(kFirst))->state == JobState::kCancelled);

  SECTION("with all of its records") {
    cell.RunFor(milliseconds(2500));
    CHECK_FALSE(cell.cell->StatusOf(JobId(kFirst)));
    CHECK(cell.CountRecords(StoreTopic::kJobs, kFirst) == 0);
    CHECK(cell.CountRecords(StoreTopic::kProgress, kFirst) == 0);
  }
  SECTION("while plans go on, although its deletion gets no response") {
    // The stream of jobs takes appends of all processes, one after the other,
    // so that it is late when the stream of progress is not.
    cell.store.refused = StoreTopic::kJobs;
    cell.RunFor(milliseconds(1000));
    cell.Submit(kSecond);
    cell.RunFor(milliseconds(2500));
    CHECK(cell.starts == 1);
    REQUIRE(cell.cell->ProofAge());
    CHECK(*cell.cell->ProofAge() < seconds(2));
    // In the opposite order a later owner takes the job for one that never ran.
    CHECK(cell.CountRecords(StoreTopic::kProgress, kFirst) == 1);
    cell.store.refused.reset();
    cell.RunFor(milliseconds(4500));
    CHECK(cell.CountRecords(StoreTopic::kJobs, kFirst) == 0);
    CHECK(cell.CountRecords(StoreTopic::kProgress, kFirst) == 0);
  }
}

TEST_CASE("a follower reads a job again that is being deleted",
          "[scheduler-process][cell]") {
  // Guards against a job that runs a second time: the platform compacts the
  // history at any time, and the newest records are read again after that.
  RunningCell cell;
  cell.Submit(kFirst);
  cell.RunFor(milliseconds(300));
  REQUIRE(cell.starts == 1);
  cell.FinishRuns();
  cell.store.refused = StoreTopic::kJobs;
  cell.RunFor(milliseconds(2500));
  REQUIRE_FALSE(cell.cell->StatusOf(JobId(kFirst)));
  REQUIRE(cell.CountRecords(StoreTopic::kJobs, kFirst) == 1);
  cell.store.dropped_history = StoreTopic::kJobs;
  cell.RunFor(milliseconds(1000));
  REQUIRE_FALSE(cell.store.dropped_history);
  CHECK(cell.starts == 1);
  CHECK_FALSE(cell.cell->StatusOf(JobId(kFirst)));
}

TEST_CASE("an owner that restores its cell for longer than leases last",
          "[scheduler-process][cell]") {
  // All processes start again at once, on VMs with little processor time.
  RunningCell cell;
  cell.ended_job_retention = seconds(60);
  cell.Submit(kFirst);
  cell.RunFor(milliseconds(300));
  REQUIRE(cell.starts == 1);
  cell.cell->Stop();
  cell.RunFor(milliseconds(1500));
  // No owner has noted this end.
  cell.FinishRuns();
  cell.store.read_delay[StoreTopic::kProgress] = seconds(4);
  cell.StartCell(Epoch(2), milliseconds(100));

  SECTION("does not start a task again that has ended") {
    cell.RunFor(milliseconds(4800));
    CHECK(cell.starts == 1);
    CHECK(cell.cell->StatusOf(JobId(kFirst))->state == JobState::kCompleted);
  }
  SECTION("waits for the list of workers, and proves its ownership meanwhile") {
    cell.store.read_delay[StoreTopic::kWorkers] = seconds(3);
    cell.RunFor(milliseconds(6500));
    CHECK(cell.starts == 1);
    REQUIRE(cell.cell->ProofAge());
    CHECK(*cell.cell->ProofAge() < seconds(2));
    cell.RunFor(milliseconds(1500));
    CHECK(cell.starts == 1);
    CHECK(cell.cell->StatusOf(JobId(kFirst))->state == JobState::kCompleted);
  }
}

TEST_CASE("one lost response of a worker is not its end",
          "[scheduler-process][cell]") {
  // The first request of an owner whose state took longer to read than leases
  // last; the worker has an end that no owner has noted.
  RunningCell cell;
  cell.ended_job_retention = seconds(60);
  cell.Submit(kFirst);
  cell.RunFor(milliseconds(300));
  REQUIRE(cell.starts == 1);
  cell.cell->Stop();
  cell.RunFor(milliseconds(1500));
  cell.FinishRuns();
  cell.store.read_delay[StoreTopic::kProgress] = seconds(4);
  cell.lost_listings = 1;
  cell.StartCell(Epoch(2), milliseconds(100));
  cell.RunFor(milliseconds(5500));
  CHECK(cell.starts == 1);
  CHECK(cell.cell->StatusOf(JobId(kFirst))->state == JobState::kCompleted);
}

TEST_CASE("an owner that cannot read the list of workers",
          "[scheduler-process][cell]") {
  // It proves its ownership, so that no other process claims the cell.
  RunningCell cell;
  cell.ended_job_retention = seconds(60);
  cell.cell->Stop();
  cell.RunFor(milliseconds(1500));
  cell.store.read_delay[StoreTopic::kWorkers] = seconds(60);
  cell.StartCell(Epoch(2), milliseconds(100));
  cell.RunFor(milliseconds(500));
  cell.Submit(kFirst);
  cell.RunFor(milliseconds(300));

  SECTION("shows that a job is cancelled") {
    cell.Cancel(kFirst);
    cell.RunFor(seconds(2));
    REQUIRE(cell.cell->StatusOf(JobId(kFirst)));
    CHECK(cell.cell->StatusOf(JobId(kFirst))->state == JobState::kCancelled);
  }
}

}  // namespace
}  // namespace cowslipmast::sched
