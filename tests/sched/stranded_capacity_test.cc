// Guards against overdue long-running tasks that wait while what is free is
// free in pieces beside other long-running tasks, and against moves of these
// that do harm.

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "tests/sched/simulated_cells.h"

namespace cowslipmast::sched {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

SchedulerOptions WithRelocation() {
  SchedulerOptions options;
  options.features.relocation = true;
  return options;
}

constexpr int64_t kCores = 64;
// The rule: 3 s, from 6 s after the last run.
constexpr Duration kMaxWithoutRun = seconds(9);
// A request that a lost worker does not answer may put off the end of its
// lease, by about a second while appends take 100 ms.
constexpr Duration kMaxBehindBusyWorkers = seconds(10);
constexpr Duration kMaxInOtherCell = kMaxWithoutRun + seconds(2);
// Of a task that is moved: half a second to stop, and a start.
constexpr Duration kMaxAwayForMove = seconds(2);
constexpr Duration kMinBetweenMoves = seconds(10);
// A lease of 6 s, by the slowest clock, and 1.5 s.
constexpr Duration kOverdueAfterLoss = milliseconds(7620);
constexpr Duration kMaxStranded = seconds(3);
constexpr Duration kTick = milliseconds(50);

/** A run of a task, as seen on its worker. */
struct RunSpan {
  RunNumber run;
  size_t worker = 0;
  TimePoint started;
  TimePoint last_seen;
};

/** A cell of workers that are filled one by one, and the history of its
 * long-running runs. */
class PackedCell {
 public:
  PackedCell() {
    m_cell.stop_delay = milliseconds(500);
    m_cell.SetQueue("urgent", MakePolicy(0, 2));
    m_cell.SetQueue("batch", MakePolicy(2, 3));
  }

  size_t AddWorker(int64_t cores = kCores) {
    m_cell.AddWorkers(1, cores, 250000);
    Run(seconds(1));
    return m_cell.worker_count() - 1;
  }

  /** The first task of a new job of long-running tasks. */
  TaskName Submit(const std::string& job,
                  const StepSpec& step,
                  const std::string& queue = "urgent") {
    m_steps[JobId(job)] = step;
    m_cell.Submit(MakeJob(job, queue, {step}));
    return {JobId(job), 0, 0, 0};
  }

  /** Submits a task and waits until it runs on the worker. */
  TaskName Start(size_t worker,
                 const std::string& job,
                 int64_t cores,
                 const std::string& queue = "urgent") {
    TaskName task = Submit(job, MakeLongRunningStep(1, cores), queue);
    WaitUntilOn(worker, task);
    return task;
  }

  void WaitUntilOn(size_t worker, const TaskName& task) {
    REQUIRE(RunUntil([&] { return IsRunning(task); }, seconds(4)));
    REQUIRE(m_cell.WorkerOf(task) == worker);
  }

  void Lose(size_t worker) { m_cell.RemoveWorker(worker); }

  void Advance() {
    m_cell.Advance();
    if (on_advance)
      on_advance();
    for (size_t i = 0; i < m_cell.worker_count(); ++i) {
      if (m_cell.worker(i).up)
        NoteRuns(i);
    }
  }

  void Run(Duration duration) {
    const TimePoint end = m_cell.now() + duration;
    while (m_cell.now() < end)
      Advance();
  }

  bool RunUntil(const std::function<bool()>& condition, Duration limit) {
    const TimePoint end = m_cell.now() + limit;
    while (!condition() && m_cell.now() < end)
      Advance();
    return condition();
  }

  /** Time until the task runs, `limit` at most. */
  Duration WaitForRun(const TaskName& task, Duration limit = seconds(30)) {
    const TimePoint start = m_cell.now();
    RunUntil([&] { return IsRunning(task); }, limit);
    return m_cell.now() - start;
  }

  bool IsAnyOverdue() {
    return m_cell.scheduler().Waiting(m_cell.now()).overdue_tasks > 0;
  }

  bool IsRunning(const TaskName& task) const {
    const auto worker = m_cell.WorkerOf(task);
    return worker && m_cell.worker(*worker).up;
  }

  bool IsStopping(const TaskName& task) const {
    return IsRunning(task) && m_cell.worker(*m_cell.WorkerOf(task))
                                  .running.at(task)
                                  .stops_at.has_value();
  }

  const std::vector<RunSpan>& RunsOf(const TaskName& task) const {
    return m_runs.at(task);
  }

  /** Runs of the task that ended on workers that go on. */
  std::vector<RunSpan> MovesOf(const TaskName& task) const {
    std::vector<RunSpan> moves;
    for (const RunSpan& span : RunsOf(task)) {
      if (span.last_seen != m_cell.now() && !m_cell.worker(span.worker).removed)
        moves.push_back(span);
    }
    return moves;
  }

  size_t CountMoves(const TaskName& task) const { return MovesOf(task).size(); }

  size_t CountAllMoves() const {
    size_t moves = 0;
    for (const auto& [task, runs] : m_runs)
      moves += CountMoves(task);
    return moves;
  }

  /** Longest time without a run after its first one, until now. */
  Duration LongestAway(const TaskName& task) const {
    Duration longest(0);
    for (const RunSpan& span : RunsOf(task))
      longest = std::max(longest, AwayAfter(task, span));
    return longest;
  }

  Duration LongestAwayForMove(const TaskName& task) const {
    Duration longest(0);
    for (const RunSpan& span : MovesOf(task))
      longest = std::max(longest, AwayAfter(task, span));
    return longest;
  }

  Duration ShortestBetweenMoves(const TaskName& task) const {
    Duration shortest = Duration::max();
    const std::vector<RunSpan> moves = MovesOf(task);
    for (size_t i = 1; i < moves.size(); ++i)
      shortest =
          std::min(shortest, moves[i].last_seen - moves[i - 1].last_seen);
    return shortest;
  }

  const std::map<TaskName, std::vector<RunSpan>>& runs() const {
    return m_runs;
  }
  const StepSpec& StepOf(const TaskName& task) const {
    return m_steps.at(task.job);
  }
  const std::vector<std::string>& violations() const {
    return m_cell.observations().violations;
  }
  SimulatedCell& cell() { return m_cell; }
  const SimulatedCell& cell() const { return m_cell; }

  /** Called in each time step. */
  std::function<void()> on_advance;

 private:
  /** Time from the end of the run to the next one, or until now. */
  Duration AwayAfter(const TaskName& task, const RunSpan& span) const {
    for (const RunSpan& next : RunsOf(task)) {
      if (next.run > span.run)
        return next.started - span.last_seen;
    }
    return m_cell.now() - span.last_seen;
  }

  void NoteRuns(size_t worker) {
    for (const auto& [task, run] : m_cell.worker(worker).running) {
      if (m_steps.count(task.job) == 0)
        continue;
      std::vector<RunSpan>& runs = m_runs[task];
      if (runs.empty() || runs.back().run != run.run)
        runs.push_back({run.run, worker, m_cell.now(), m_cell.now()});
      runs.back().last_seen = m_cell.now();
    }
  }

  SimulatedCell m_cell{WithRelocation()};
  std::map<JobId, StepSpec> m_steps;
  std::map<TaskName, std::vector<RunSpan>> m_runs;
};

/** A cell where a task of 13 cores has room only if one of 8 moves from a
 * worker with 8 free cores to another one. */
struct CellWithPieces : PackedCell {
  explicit CellWithPieces(const std::string& waiting_queue = "urgent",
                          const std::string& small_queue = "urgent")
      : other_worker(AddWorker(8)) {
    other = Start(other_worker, "other", 8);
    source = AddWorker();
    source_base = Start(source, "source-base", 48);
    small = Start(source, "small", 8, small_queue);
    target = AddWorker();
    target_base = Start(target, "target-base", 56);
    first_worker = AddWorker(13);
    waiting = Start(first_worker, "waiting", 13, waiting_queue);
    Run(seconds(1));
  }

  void CheckMovedOnce(Duration limit = kMaxWithoutRun) {
    REQUIRE(RunUntil([&] { return IsAnyOverdue(); }, limit));
    CHECK(WaitForRun(waiting) <= kMaxStranded);
    CHECK(LongestAway(waiting) <= limit);
    Run(seconds(4));
    CHECK(cell().WorkerOf(waiting) == source);
    CHECK(cell().WorkerOf(small) == target);
    CHECK(CountMoves(small) == 1);
    CHECK(LongestAwayForMove(small) <= kMaxAwayForMove);
    CHECK(CountAllMoves() == 1);
    CHECK(violations().empty());
  }

  size_t other_worker;
  size_t source = 0;
  size_t target = 0;
  size_t first_worker = 0;
  TaskName other;
  TaskName source_base;
  TaskName target_base;
  TaskName small;
  TaskName waiting;
};

TEST_CASE("a long-running task waits for two pieces of free capacity",
          "[sched]") {
  SECTION("and runs once a task has moved") {
    const int latency_ms = GENERATE(0, 100);
    INFO("an append takes " << latency_ms << " ms");
    CellWithPieces site;
    site.cell().append_latency = milliseconds(latency_ms);
    site.Lose(site.first_worker);
    site.CheckMovedOnce();
  }
  SECTION("and a task of a less urgent queue moves") {
    CellWithPieces site("urgent", "batch");
    site.Lose(site.first_worker);
    site.CheckMovedOnce();
  }
  SECTION("both of a less urgent queue") {
    CellWithPieces site("batch", "batch");
    site.Lose(site.first_worker);
    site.CheckMovedOnce();
  }
}

/** Submits short tasks all the time, more than there is room for. */
void AddShortWork(PackedCell& site, double run_time_s) {
  site.cell().run_time_s_of = [run_time_s](const TaskName& task) {
    return run_time_s + (task.index % 8 == 0 ? 0.1 : 0);
  };
  int submitted = 0;
  TimePoint next = site.cell().now();
  site.on_advance = [&site, run_time_s, submitted, next]() mutable {
    if (site.cell().now() < next)
      return;
    next += kTick;
    const std::string id = "short" + std::to_string(submitted);
    site.cell().Submit(MakeJob(id, ++submitted % 2 == 0 ? "urgent" : "batch",
                               {MakeStep(20, 1, 500, run_time_s)}));
  };
}

TEST_CASE("short work takes each piece that a move frees", "[sched]") {
  const double run_time_s = GENERATE(0.085, 2.0);
  INFO("short tasks of " << run_time_s << " s");
  CellWithPieces site;
  site.cell().append_latency = milliseconds(100);
  const Duration limit = kMaxBehindBusyWorkers;
  SECTION("from before the loss on") {
    AddShortWork(site, run_time_s);
    site.Run(seconds(5));
    site.Lose(site.first_worker);
    site.CheckMovedOnce(limit);
  }
  SECTION("from the beginning of the move on") {
    site.Lose(site.first_worker);
    REQUIRE(site.RunUntil([&] { return site.IsStopping(site.small); }, limit));
    AddShortWork(site, run_time_s);
    site.CheckMovedOnce(limit);
  }
}

TEST_CASE("another task is overdue while a task moves to the last free piece",
          "[sched]") {
  const int gap_ms = GENERATE(0, 200, 400, 600, 800, 1000, 1200, 1400);
  INFO("its worker is lost " << gap_ms << " ms after the other one");
  CellWithPieces site;
  site.Lose(site.first_worker);
  site.Run(milliseconds(gap_ms));
  site.Lose(site.other_worker);
  site.Run(seconds(15));
  CHECK(site.LongestAway(site.small) <= kMaxAwayForMove);
  CHECK(site.CountAllMoves() <= 1);
  CHECK(site.violations().empty());
}

/** Finds lost tasks that are overdue and wait for longer than `kMaxStranded`
 * while a move of one run would make room. Sees workers and runs, and nothing
 * that the scheduler knows. */
class StrandedWorkChecker {
 public:
  explicit StrandedWorkChecker(const PackedCell& site) : m_site(site) {}

  void Observe() {
    const TimePoint now = m_site.cell().now();
    NoteFreeCapacity();
    std::map<JobId, bool> has_room;
    for (const auto& [task, runs] : m_site.runs()) {
      if (now - runs.back().last_seen < kOverdueAfterLoss) {
        m_since.erase(task);
        continue;
      }
      const auto [entry, added] = has_room.emplace(task.job, false);
      if (added)
        entry->second = HasRoomAfterMove(m_site.StepOf(task).need);
      if (!entry->second) {
        m_since.erase(task);
        continue;
      }
      const TimePoint since = m_since.emplace(task, now).first->second;
      m_longest[task] = std::max(m_longest[task], now - since);
    }
  }

  size_t CountFound() const {
    return static_cast<size_t>(
        std::count_if(m_longest.begin(), m_longest.end(),
                      [](const auto& e) { return e.second > kMaxStranded; }));
  }

  std::string Describe() const {
    std::string text;
    for (const auto& [task, longest] : m_longest)
      text += task.job.value() + "." + std::to_string(task.index) + " needs " +
              std::to_string(m_site.StepOf(task).need.cpu.count()) + ": " +
              std::to_string(longest / milliseconds(1)) + " ms\n";
    return text;
  }

 private:
  void NoteFreeCapacity() {
    m_free.clear();
    for (size_t i = 0; i < m_site.cell().worker_count(); ++i) {
      const SimulatedWorker& worker = m_site.cell().worker(i);
      m_free.push_back(worker.up ? worker.info.capacity : Resources{});
      for (const auto& [task, run] : worker.running)
        m_free.back() -= m_site.StepOf(task).need;
    }
  }

  bool HasRoomElsewhere(size_t worker, const Resources& need) const {
    for (size_t i = 0; i < m_free.size(); ++i) {
      if (i != worker && Fits(need, m_free[i]))
        return true;
    }
    return false;
  }

  bool MayMove(const TaskName& task) const {
    const std::vector<RunSpan>& runs = m_site.RunsOf(task);
    return runs.size() == 1 ||
           m_site.cell().now() - runs.back().started >= kMinBetweenMoves;
  }

  bool HasRoomAfterMove(const Resources& need) const {
    for (size_t i = 0; i < m_free.size(); ++i) {
      for (const auto& [task, run] : m_site.cell().worker(i).running) {
        const Resources& freed = m_site.StepOf(task).need;
        if (Fits(need, m_free[i] + freed) && MayMove(task) &&
            HasRoomElsewhere(i, freed))
          return true;
      }
    }
    return false;
  }

  const PackedCell& m_site;
  std::vector<Resources> m_free;  // by worker
  std::map<TaskName, TimePoint> m_since;
  std::map<TaskName, Duration> m_longest;
};

constexpr size_t kWorkers = 40;
constexpr size_t kLostWorkers = 6;
constexpr int64_t kMemoryMb = 250000;
constexpr uint32_t kTasksPerService = 14;

/** Needs of the tasks of services that fill 0.92 of the cell, or a bit more:
 * 9 to 19 cores, and 1.5 to 3.5 GB for each. */
std::vector<Resources> DrawNeeds(uint32_t seed) {
  constexpr MilliCores limit(2400000);
  std::mt19937 random(seed);
  std::vector<Resources> needs;
  MilliCores total;
  while (true) {
    const int64_t cpu = 9000 + static_cast<int64_t>(random() % 201) * 50;
    const int64_t memory =
        cpu * (1500 + static_cast<int64_t>(random() % 2000)) / 1000;
    total += MilliCores(cpu * kTasksPerService);
    if (total >= limit)
      return needs;
    needs.push_back({MilliCores(cpu), Mebibytes(memory), {}});
  }
}

TEST_CASE("a cell full of services loses 15% of its workers", "[sched]") {
  const uint32_t seed = GENERATE(8U, 9U, 18U, 19U, 23U, 50U, 53U, 64U);
  INFO("services of seed " << seed);
  const std::vector<Resources> needs = DrawNeeds(seed);
  PackedCell site;
  site.cell().AddWorkers(kWorkers, kCores, kMemoryMb);
  site.Run(seconds(1));
  for (size_t i = 0; i < needs.size(); ++i) {
    StepSpec step = MakeLongRunningStep(kTasksPerService, 0);
    step.need = needs[i];
    site.Submit("service" + std::to_string(i), step);
    site.Run(seconds(1));
  }
  site.Run(seconds(4));
  REQUIRE(site.runs().size() == needs.size() * kTasksPerService);
  REQUIRE(site.CountAllMoves() == 0);

  for (size_t i = 0; i < kLostWorkers; ++i)
    site.Lose(i * 6);
  StrandedWorkChecker checker(site);
  for (Duration t(0); t < seconds(30); t += kTick) {
    site.Run(kTick);
    checker.Observe();
  }
  INFO(checker.Describe());
  CHECK(checker.CountFound() == 0);
  for (const auto& [task, runs] : site.runs()) {
    INFO(task.job.value() << "." << task.index);
    CHECK(site.LongestAwayForMove(task) <= kMaxAwayForMove);
    CHECK(site.ShortestBetweenMoves(task) >= kMinBetweenMoves);
  }
  CHECK(site.violations().empty());
}

TEST_CASE("only the other cell has a task whose move makes room", "[sched]") {
  SimulatedCells system(2, 1, kCores, {.relocation = true});
  system.SetQueue("urgent", MakePolicy(0, 2));
  for (size_t i = 0; i < system.size(); ++i)
    system.cell(i).stop_delay = milliseconds(500);
  // All stays in its cell at first.
  system.load_arrives = [](size_t, size_t) { return false; };
  system.Run(seconds(1));
  const auto start = [&system](size_t cell, int64_t cores) {
    std::string id = system.MakeIdFor(cell, "service");
    system.Submit(MakeJob(id, "urgent", {MakeLongRunningStep(1, cores)}));
    system.Run(seconds(4));
    REQUIRE(system.CountRunning(id) == 1);
    return id;
  };
  const auto add_worker = [&system](size_t cell) {
    system.cell(cell).AddWorkers(1, kCores, 256000, 500 + 500 * cell);
    system.Run(seconds(1));
  };
  start(0, 60);
  add_worker(0);
  const std::string waiting = start(0, 13);
  start(1, 48);
  const std::string small = start(1, 8);
  add_worker(1);
  start(1, 56);
  system.load_arrives = nullptr;
  system.Run(seconds(2));
  const auto lost = system.cell(0).WorkerOf({JobId(waiting), 0, 0, 0});
  REQUIRE(lost == 1);
  REQUIRE(system.cell(1).WorkerOf({JobId(small), 0, 0, 0}) == 0);

  system.cell(0).RemoveWorker(*lost);
  const TimePoint lost_at = system.now();
  Duration small_away(0);
  TimePoint small_seen = lost_at;
  std::optional<Duration> runs_after;
  while (system.now() - lost_at < seconds(20)) {
    system.Run(kTimeStep);
    if (!runs_after && system.CountRunning(waiting) == 1)
      runs_after = system.now() - lost_at;
    if (system.CountRunning(small) == 1)
      small_seen = system.now();
    small_away = std::max(small_away, system.now() - small_seen);
  }
  CHECK(runs_after.value_or(seconds(20)) <= kMaxInOtherCell);
  CHECK(system.cell(1).CountRunning(waiting) == 1);
  CHECK(system.cell(1).CountRunning(small) == 1);
  CHECK(small_away <= kMaxAwayForMove);
  CHECK(system.Violations().empty());
}

TEST_CASE("two tasks would need moves of the same task within seconds",
          "[sched]") {
  PackedCell site;
  const size_t source = site.AddWorker();
  site.Start(source, "source-base", 48);
  const TaskName small = site.Start(source, "small", 8);
  const size_t second_worker = site.AddWorker(12);
  const TaskName second = site.Start(second_worker, "second", 12);
  const size_t first_worker = site.AddWorker(13);
  const TaskName first = site.Start(first_worker, "first", 13);
  const size_t target = site.AddWorker();
  site.Start(target, "target-base", 52);

  site.Lose(first_worker);
  REQUIRE(
      site.RunUntil([&] { return site.IsStopping(small); }, kMaxWithoutRun));
  site.Lose(second_worker);
  REQUIRE(site.WaitForRun(first) <= kMaxAwayForMove);
  REQUIRE(site.WaitForRun(small) <= kMaxAwayForMove);
  REQUIRE(site.cell().WorkerOf(small) == target);
  // Where the task can go so that the second one fits beside the base.
  site.AddWorker(8);
  CHECK(site.WaitForRun(second) <= kMinBetweenMoves + seconds(5));
  site.Run(seconds(4));
  CHECK(site.CountMoves(small) == 2);
  CHECK(site.ShortestBetweenMoves(small) >= kMinBetweenMoves);
  CHECK(site.LongestAwayForMove(small) <= kMaxAwayForMove);
  CHECK(site.violations().empty());
}

/** Two tasks on different workers, of which one may be away. */
StepSpec MakePair() {
  StepSpec step = MakeLongRunningStep(2, 8);
  step.max_per_worker = 1;
  step.max_unavailable = 1;
  return step;
}

/** Longest time, from now on, for which both tasks of the job are away. */
Duration LongestBothAway(PackedCell& site,
                         const std::string& job,
                         Duration duration) {
  Duration longest(0);
  TimePoint seen = site.cell().now();
  const TimePoint end = seen + duration;
  while (site.cell().now() < end) {
    site.Advance();
    if (site.cell().CountRunning(job) > 0)
      seen = site.cell().now();
    longest = std::max(longest, site.cell().now() - seen);
  }
  return longest;
}

TEST_CASE("one task of a service may be unavailable", "[sched]") {
  PackedCell site;
  const size_t source = site.AddWorker();
  site.Start(source, "source-base", 48);
  site.Submit("pair", MakePair());
  SECTION("and is, so that the other one moves only after it") {
    const size_t other = site.AddWorker(8);
    REQUIRE(site.RunUntil([&] { return site.cell().CountRunning("pair") == 2; },
                          seconds(4)));
    const size_t target = site.AddWorker();
    site.Start(target, "target-base", 56);
    const size_t worker = site.AddWorker(13);
    const TaskName waiting = site.Start(worker, "waiting", 13);
    site.Lose(worker);
    site.Run(seconds(5));
    site.cell().AddWorkers(1, 8, 250000);
    site.Lose(other);
    CHECK(LongestBothAway(site, "pair", seconds(20)) == Duration(0));
    CHECK(site.IsRunning(waiting));
    CHECK(site.cell().CountRunning("pair") == 2);
  }
  SECTION("and two tasks wait for room that both could make") {
    const size_t other = site.AddWorker();
    REQUIRE(site.RunUntil([&] { return site.cell().CountRunning("pair") == 2; },
                          seconds(4)));
    site.Start(other, "other-base", 48);
    std::vector<TaskName> waiting;
    for (int i = 0; i < 2; ++i) {
      const size_t worker = site.AddWorker(13);
      waiting.push_back(site.Start(worker, "waiting" + std::to_string(i), 13));
    }
    site.cell().AddWorkers(2, 8, 250000);
    site.Run(seconds(1));
    for (const TaskName& task : waiting)
      site.Lose(site.RunsOf(task).back().worker);
    CHECK(LongestBothAway(site, "pair", seconds(20)) == Duration(0));
    for (const TaskName& task : waiting) {
      CHECK(site.IsRunning(task));
      CHECK(site.LongestAway(task) <= kMaxWithoutRun + kMaxAwayForMove);
    }
  }
  CHECK(site.violations().empty());
}

TEST_CASE("a long-running task waits for room that no task may make",
          "[sched]") {
  SECTION("as the one that could is of a more urgent queue") {
    CellWithPieces site("batch", "urgent");
    site.Lose(site.first_worker);
    site.Run(seconds(15));
    CHECK(site.CountAllMoves() == 0);
    CHECK(site.violations().empty());
  }
  SECTION("as those that could are members of a gang") {
    PackedCell site;
    const size_t source = site.AddWorker();
    site.Start(source, "source-base", 40);
    StepSpec gang = MakeLongRunningStep(2, 8);
    gang.gang = true;
    const TaskName member = site.Submit("gang", gang);
    site.WaitUntilOn(source, member);
    const size_t target = site.AddWorker();
    site.Start(target, "target-base", 56);
    const size_t worker = site.AddWorker(13);
    site.Start(worker, "waiting", 13);
    site.Lose(worker);
    site.Run(seconds(15));
    CHECK(site.cell().CountRunning("gang") == 2);
    CHECK(site.CountAllMoves() == 0);
    CHECK(site.violations().empty());
  }
}

enum class Moment { kStopping, kStopped, kStartedAgain };

const char* NameOf(Moment moment) {
  switch (moment) {
    case Moment::kStopping:
      return "stopping";
    case Moment::kStopped:
      return "stopped";
    case Moment::kStartedAgain:
      return "started again";
  }
  return "";
}

/** Loses the worker, and runs until the move has got so far. */
void BeginMove(CellWithPieces& site, Moment moment) {
  site.cell().append_latency = milliseconds(100);
  site.Lose(site.first_worker);
  REQUIRE(site.RunUntil([&] { return site.IsStopping(site.small); },
                        kMaxWithoutRun));
  if (moment != Moment::kStopping)
    REQUIRE(site.RunUntil([&] { return !site.IsRunning(site.small); },
                          kMaxAwayForMove));
  if (moment == Moment::kStartedAgain)
    REQUIRE(site.RunUntil([&] { return site.IsRunning(site.small); },
                          kMaxAwayForMove));
}

TEST_CASE("the owner is replaced while a task moves", "[sched]") {
  const Moment moment =
      GENERATE(Moment::kStopping, Moment::kStopped, Moment::kStartedAgain);
  const bool last_plan_is_stored = GENERATE(false, true);
  INFO("the task is " << NameOf(moment)
                      << ", last plan stored: " << last_plan_is_stored);
  CellWithPieces site;
  BeginMove(site, moment);
  site.cell().RemoveOwner(last_plan_is_stored);
  site.Run(milliseconds(300));
  site.cell().ReplaceOwner();
  // It waits for the leases of the one before.
  const Duration limit = SchedulerOptions().previous_owner_lease + kMaxStranded;
  CHECK(site.WaitForRun(site.small) <= limit);
  CHECK(site.WaitForRun(site.waiting) <= limit);
  site.Run(seconds(5));
  CHECK(site.IsRunning(site.small));
  CHECK(site.IsRunning(site.waiting));
  CHECK(site.violations().empty());
}

TEST_CASE("a worker is lost while a task moves", "[sched]") {
  const Moment moment =
      GENERATE(Moment::kStopping, Moment::kStopped, Moment::kStartedAgain);
  INFO("the task is " << NameOf(moment));
  CellWithPieces site;
  BeginMove(site, moment);
  SECTION("that it moves to, and another one has room for it") {
    site.cell().AddWorkers(1, 8, 250000);
    site.Lose(site.target);
    site.Run(seconds(12));
    CHECK(site.IsRunning(site.small));
    CHECK(site.IsRunning(site.waiting));
    CHECK(site.LongestAway(site.waiting) <= kMaxWithoutRun + kMaxAwayForMove);
  }
  SECTION("that it moves from") {
    site.Lose(site.source);
    site.Run(seconds(12));
    CHECK(site.IsRunning(site.small));
  }
  CHECK(site.LongestAway(site.small) <= kMaxWithoutRun);
  CHECK(site.violations().empty());
}

}  // namespace
}  // namespace cowslipmast::sched
