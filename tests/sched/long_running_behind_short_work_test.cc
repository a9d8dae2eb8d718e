// Guards against overdue long-running tasks that wait behind short work.

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>

#include "tests/sched/waiting_work_checker.h"

namespace cowslipmast::sched {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kWorkers = 10;  // beside the first worker of each cell
constexpr int64_t kRoom = 16;    // cores that long-running tasks leave there
constexpr uint32_t kLostTasks = 4;
constexpr int64_t kLostCores = 10;
// The checker finds a task that waits for 3 s, from 6 s after its last run.
constexpr Duration kMaxWithoutRun = seconds(9);
// Where short tasks leave no processors unused in between.
constexpr Duration kMaxBehindBusyWorkers = seconds(10);
constexpr Duration kTick = milliseconds(50);
constexpr Duration kAppendLatency = milliseconds(100);

enum class Obstacle { kShortTasks, kBestEffortTasks };

// Most tasks run for a bit less than a plan takes to be stored. A third of the
// short tasks of a worker run then, a third have just ended, and a third are
// about to start: two thirds of the room are not in use, of which each plan
// gives a half away. The longer ones keep the tasks from ending all at once.
constexpr double kBriefRunS = 0.085;

/** Cells of 48-core workers. The first worker of cell 0 runs the tasks that
 * will be lost, the others long-running tasks that leave a bit of room. */
class FullSite {
 public:
  explicit FullSite(uint32_t cells,
                    double run_time_s = kBriefRunS,
                    Obstacle obstacle = Obstacle::kShortTasks)
      : m_system(cells, 1, 48),
        m_checker(m_system),
        m_run_time_s(run_time_s),
        m_obstacle(obstacle) {
    m_system.SetQueue("urgent", MakePolicy(0, 2));
    m_system.SetQueue("batch", MakePolicy(2, 3));
    for (size_t i = 0; i < cells; ++i) {
      m_system.cell(i).run_time_s_of = [this](const TaskName& task) {
        return m_run_time_s + (task.index % 8 == 0 ? 0.1 : 0);
      };
      m_system.cell(i).append_latency = kAppendLatency;
    }
    // All stays in its cell at first.
    m_system.load_arrives = [](size_t, size_t) { return false; };
    m_system.Run(milliseconds(500));
  }

  void StartLostTasks() {
    m_lost_job = m_system.MakeIdFor(0, "lost");
    m_system.Submit(MakeJob(m_lost_job, "urgent", {MakeLostStep()}));
    m_system.Run(seconds(2));
  }

  /** Adds workers to the cell whose long-running tasks leave that room. */
  void AddWorkers(size_t cell, size_t count, int64_t cores) {
    m_system.cell(cell).AddWorkers(static_cast<int>(count), 48, 256000,
                                   cell * 8000);
    // The first worker of each other cell has no tasks yet.
    const auto tasks = static_cast<uint32_t>(count + (cell > 0 ? 1 : 0));
    StepSpec base = MakeLongRunningStep(tasks, 48 - cores);
    base.max_per_worker = 1;
    if (m_obstacle == Obstacle::kBestEffortTasks)
      base.need.memory = Mebibytes(200000);
    m_system.Run(seconds(1));
    m_system.Submit(
        MakeJob(m_system.MakeIdFor(cell, "base"), "urgent", {base}));
    m_system.Run(seconds(3));
  }

  /** Runs the site while more obstacles than fit are submitted to the cell. */
  void RunLoad(size_t cell, Duration duration) {
    m_system.load_arrives = nullptr;
    for (Duration t(0); t < duration; t += kTick) {
      m_system.Submit(MakeJob(m_system.MakeIdFor(cell, "short"),
                              ++m_submitted % 2 == 0 ? "urgent" : "batch",
                              {MakeObstacleStep()}));
      m_checker.Run(kTick);
      NoteRuns();
    }
  }

  void LoseWorker(size_t index) {
    m_system.cell(0).RemoveWorker(index);
    m_checker.NoteFault();
  }

  void ReplaceOwner() {
    m_system.cell(0).ReplaceOwner();
    m_checker.NoteFault();
  }

  void Drain(size_t index) {
    SimulatedWorker& worker = m_system.cell(0).worker(index);
    worker.info.draining = true;
    m_system.cell(0).UpdateWorkerInfo(index);
    m_checker.NoteFault();
  }

  size_t CountRunningAgain() const { return m_system.CountRunning(m_lost_job); }
  size_t CountDone(size_t cell) {
    return m_system.cell(cell).observations().done.size();
  }

  void CheckRunsAgain(Duration limit = kMaxWithoutRun) {
    INFO(m_checker.Describe());
    CHECK(CountRunningAgain() == kLostTasks);
    CHECK(m_longest_without_run <= limit + kTick);
    CHECK(m_checker.found().empty());
    CHECK(m_system.Violations().empty());
  }

  SimulatedCells& system() { return m_system; }

 private:
  StepSpec MakeLostStep() const {
    StepSpec step = MakeLongRunningStep(kLostTasks, kLostCores);
    if (m_obstacle == Obstacle::kBestEffortTasks)
      step.need.memory = Mebibytes(35000);
    return step;
  }

  StepSpec MakeObstacleStep() const {
    StepSpec step = MakeStep(80, 1, 500, m_run_time_s);
    step.need.cpu = MilliCores(500);
    if (m_obstacle == Obstacle::kBestEffortTasks) {
      step.best_effort = true;
      step.image = ImageId("filler");
      step.need.cpu = MilliCores(250);
      step.need.memory = Mebibytes(1750);
    }
    return step;
  }

  void NoteRuns() {
    if (CountRunningAgain() == kLostTasks)
      m_all_ran_at = m_system.now();
    m_longest_without_run =
        std::max(m_longest_without_run, m_system.now() - m_all_ran_at);
  }

  SimulatedCells m_system;
  WaitingWorkChecker m_checker;
  double m_run_time_s;
  Obstacle m_obstacle;
  std::string m_lost_job;
  int m_submitted = 0;
  TimePoint m_all_ran_at;
  Duration m_longest_without_run{0};
};

// Its tasks are lost while obstacles fill the room on the other workers.
void LoseFirstWorker(FullSite& site) {
  site.StartLostTasks();
  site.AddWorkers(0, kWorkers, kRoom);
  site.RunLoad(0, seconds(6));
  REQUIRE(site.CountRunningAgain() == kLostTasks);
  site.LoseWorker(0);
  site.RunLoad(0, seconds(12));
}

TEST_CASE(
    "long-running tasks lose their worker while short tasks fill the rest",
    "[sched]") {
  FullSite site(1);
  site.StartLostTasks();
  site.AddWorkers(0, kWorkers, kRoom);
  site.RunLoad(0, seconds(6));
  REQUIRE(site.CountRunningAgain() == kLostTasks);
  const size_t done_at_first = site.CountDone(0);
  site.RunLoad(0, seconds(3));
  const size_t done_before = site.CountDone(0) - done_at_first;
  site.LoseWorker(0);

  SECTION("and run again, after which short tasks go on") {
    site.RunLoad(0, seconds(12));
    site.CheckRunsAgain();
    // Four workers have less room than before.
    const size_t done = site.CountDone(0);
    site.RunLoad(0, seconds(3));
    CHECK((site.CountDone(0) - done) * 2 >= done_before);
  }
  SECTION("and run again although half of the others drain in time") {
    site.RunLoad(0, milliseconds(8100));
    for (size_t k = 1; k <= kWorkers / 2; ++k)
      site.Drain(k);
    site.RunLoad(0, seconds(6));
    site.CheckRunsAgain(seconds(11));
  }
  SECTION("and the cell gets another owner") {
    site.RunLoad(0, seconds(1));
    site.ReplaceOwner();
    site.RunLoad(0, seconds(2));
    SECTION("and no other worker changes") {}
    SECTION("and a worker with room drains") {
      site.Drain(1);
    }
    SECTION("and a worker with room is lost, too") {
      site.LoseWorker(1);
    }
    site.RunLoad(0, seconds(12));
    site.CheckRunsAgain();
  }
}

TEST_CASE(
    "long-running tasks wait in a full cell while short tasks fill another",
    "[sched]") {
  FullSite site(2);
  site.AddWorkers(1, kWorkers, kRoom);
  site.StartLostTasks();
  site.AddWorkers(0, 3, 4);
  site.RunLoad(1, seconds(6));
  REQUIRE(site.CountRunningAgain() == kLostTasks);
  site.LoseWorker(0);
  site.RunLoad(1, seconds(12));
  site.CheckRunsAgain();
}

TEST_CASE("long-running tasks wait for memory that best-effort tasks hold",
          "[sched]") {
  SECTION("briefly") {
    FullSite site(1, kBriefRunS, Obstacle::kBestEffortTasks);
    LoseFirstWorker(site);
    site.CheckRunsAgain();
  }
  SECTION("for a second") {
    FullSite site(1, 1.0, Obstacle::kBestEffortTasks);
    LoseFirstWorker(site);
    site.CheckRunsAgain(kMaxBehindBusyWorkers);
  }
}

TEST_CASE("long-running tasks wait behind short tasks of a second", "[sched]") {
  FullSite site(1, 1.0);
  LoseFirstWorker(site);
  site.CheckRunsAgain(kMaxBehindBusyWorkers);
}

TEST_CASE("short tasks use all that no long-running task can take", "[sched]") {
  FullSite site(1);
  site.StartLostTasks();
  site.AddWorkers(0, kWorkers, kRoom);
  SimulatedCells& system = site.system();
  system.cell(0).run_time_s_of = [](const TaskName&) { return 60.0; };
  const auto submit_short = [&](uint32_t tasks) {
    StepSpec step = MakeStep(tasks, 1, 500, 60);
    system.Submit(MakeJob(system.MakeIdFor(0, "short"), "batch", {step}));
  };
  const auto submit_long_running = [&](uint32_t tasks, int64_t cores) {
    system.Submit(
        MakeJob("more", "urgent", {MakeLongRunningStep(tasks, cores)}));
  };
  constexpr int64_t all_cores = (kWorkers + 1) * 48;
  const auto cores_in_use = [&] {
    return system.RunningOf("").cpu.count() / 1000;
  };

  SECTION("when none waits") {
    submit_short(500);
    system.Run(seconds(2));
    CHECK(cores_in_use() == all_cores);
  }
  SECTION("when it has a free worker, on which it starts at once") {
    submit_short(20);
    system.Run(seconds(1));
    submit_long_running(2, kLostCores);
    system.Run(milliseconds(500));
    CHECK(system.CountRunning("more") == 2);
    submit_short(500);
    system.Run(seconds(2));
    CHECK(cores_in_use() == all_cores);
  }
  SECTION("when it fits on no worker even without them") {
    submit_long_running(1, kRoom + 1);
    system.Run(seconds(4));
    submit_short(500);
    system.Run(seconds(2));
    CHECK(cores_in_use() == all_cores);
  }
  CHECK(system.Violations().empty());
}

}  // namespace
}  // namespace cowslipmast::sched
