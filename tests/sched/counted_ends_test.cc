// Guards against an end of a worker that is counted twice because several
// messages tell of it.

#include <catch2/catch.hpp>

#include <algorithm>

#include "tests/sched/crash_log.h"
#include "tests/sched/simulated_cells.h"

namespace cowslipmast::sched {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// One end fewer than a job is given up for.
constexpr int kEnds = 2;

size_t WorkerOf(SimulatedCell& cell, const TaskName& task) {
  for (int i = 0; i < 2000 && !cell.WorkerOf(task); ++i)
    cell.Run(kTimeStep);
  const auto worker = cell.WorkerOf(task);
  REQUIRE(worker);
  // Long enough for the run to be listed, and not blamed.
  cell.Run(seconds(1));
  return *worker;
}

void Restart(SimulatedCell& cell, size_t worker) {
  cell.StopWorker(worker);
  cell.RestartWorker(worker);
  cell.worker(worker).next_listing = cell.now();
}

TEST_CASE("the end of a worker is counted twice", "[sched]") {
  const bool is_long_running = GENERATE(true, false);
  INFO((is_long_running ? "long-running" : "short"));
  const TaskName task{JobId("a"), 0, 0, 0};
  SimulatedCell cell;
  CrashLog log;
  cell.AddWorkers(12, 16, 64000);
  cell.SetQueue("urgent", MakePolicy(0, 4));
  cell.run_time_s_of = [](const TaskName&) { return 100.0; };
  cell.Run(milliseconds(100));
  StepSpec step =
      is_long_running ? MakeLongRunningStep(1, 10) : MakeStep(1, 10, 1000, 0.8);
  const auto submit = [&] { cell.Submit(MakeJob("a", "urgent", {step})); };
  uint64_t worker_crashes = 0;
  const auto check = [&](int proven) {
    cell.Run(seconds(3));
    ReadDecisions(cell, log);
    worker_crashes += cell.scheduler().counters().worker_crashes;
    INFO(log.lines);
    CHECK(log.proven + log.unproven == kEnds);
    CHECK(log.proven == proven);
    CHECK(log.last_total == kEnds);
    CHECK(worker_crashes == kEnds);
  };

  SECTION("as its lease, its removal and its next instance tell of it") {
    submit();
    for (int i = 0; i < kEnds; ++i) {
      const size_t worker = WorkerOf(cell, task);
      cell.StopWorker(worker);
      cell.Run(seconds(4));
      cell.RemoveFromList(worker);
      cell.Run(seconds(5));
      Restart(cell, worker);
      cell.UpdateWorkerInfo(worker);
      cell.Run(seconds(1));
    }
    check(0);
  }
  SECTION("as a connection and a listing tell of it") {
    submit();
    for (int i = 0; i < kEnds; ++i) {
      const size_t worker = WorkerOf(cell, task);
      const auto instance =
          cell.scheduler().InstanceOf(cell.worker(worker).info.id);
      Restart(cell, worker);
      cell.scheduler().OnInstanceEnded(*instance, cell.now());
      cell.scheduler().OnInstanceEnded(*instance, cell.now());
      cell.Run(seconds(1));
    }
    check(kEnds);
  }
  SECTION("as another worker at its address answers again and again") {
    submit();
    for (int i = 0; i < kEnds; ++i) {
      const size_t worker = WorkerOf(cell, task);
      cell.StopWorker(worker);
      for (int k = 0; k < 5; ++k) {
        cell.scheduler().OnWorkerDead(cell.worker(worker).info.id, cell.now());
        cell.Run(milliseconds(300));
      }
      Restart(cell, worker);
      cell.Run(seconds(1));
    }
    check(kEnds);
  }
  SECTION("as another worker at its address answers after a lapse") {
    submit();
    for (int i = 0; i < kEnds; ++i) {
      const size_t worker = WorkerOf(cell, task);
      cell.StopWorker(worker);
      cell.Run(seconds(9));
      cell.scheduler().OnWorkerDead(cell.worker(worker).info.id, cell.now());
      Restart(cell, worker);
      cell.Run(seconds(1));
    }
    check(0);
  }
  SECTION("by an owner and the next one") {
    submit();
    for (int i = 0; i < kEnds; ++i) {
      Restart(cell, WorkerOf(cell, task));
      cell.Run(milliseconds(100));
      ReadDecisions(cell, log);
      worker_crashes += cell.scheduler().counters().worker_crashes;
      cell.ReplaceOwner();
    }
    check(kEnds);
  }
  SECTION("as two workers of a gang end at once") {
    step.gang = true;
    step.count = 2;
    submit();
    for (int i = 0; i < kEnds; ++i) {
      const size_t worker = WorkerOf(cell, task);
      const auto other = cell.WorkerOf({JobId("a"), 0, 0, 1});
      REQUIRE(other);
      REQUIRE(*other != worker);
      Restart(cell, worker);
      Restart(cell, *other);
      cell.Run(seconds(1));
    }
    // Two workers ended each time.
    cell.Run(seconds(3));
    ReadDecisions(cell, log);
    INFO(log.lines);
    CHECK(log.last_total == kEnds);
    CHECK(cell.scheduler().counters().worker_crashes == 2 * kEnds);
  }
}

TEST_CASE("another worker at the address does not end an instance", "[sched]") {
  const bool is_long_running = GENERATE(true, false);
  const bool tells_start_time = GENERATE(true, false);
  INFO("long-running " << is_long_running << ", with start times "
                       << tells_start_time);
  const TaskName task{JobId("a"), 0, 0, 0};
  SimulatedCell cell;
  CrashLog log;
  cell.AddWorkers(12, 16, 64000);
  const auto hide_start_time = [&](size_t worker) {
    if (tells_start_time)
      return;
    cell.worker(worker).start_time_ms = 0;
    cell.worker(worker).info.start_time_ms = 0;
    cell.UpdateWorkerInfo(worker);
  };
  for (size_t w = 0; w < cell.worker_count(); ++w)
    hide_start_time(w);
  cell.SetQueue("urgent", MakePolicy(0, 4));
  cell.run_time_s_of = [](const TaskName&) { return 100.0; };
  cell.Run(milliseconds(100));
  cell.Submit(MakeJob("a", "urgent",
                      {is_long_running ? MakeLongRunningStep(1, 2)
                                       : MakeStep(1, 2, 1000, 0.8)}));

  SECTION("although the task crashes each worker") {
    int ends = 0;
    for (; ends < 8; ++ends) {
      for (int i = 0; i < 1000 && !cell.WorkerOf(task); ++i)
        cell.Run(kTimeStep);
      const auto worker = cell.WorkerOf(task);
      if (!worker)
        break;
      cell.Run(milliseconds(50));
      cell.StopWorker(*worker);
      cell.worker(*worker).running.clear();
      cell.scheduler().OnWorkerDead(cell.worker(*worker).info.id, cell.now());
    }
    ReadDecisions(cell, log);
    INFO(log.lines);
    CHECK(ends >= 2);
    CHECK(ends <= 5);
    CHECK(log.proven == ends);
    CHECK(cell.StateOf("a") == JobState::kFailed);
  }
}

TEST_CASE("an end is counted in two cells", "[sched]") {
  SimulatedCells system(2, 8, 16);
  system.SetQueue("urgent", MakePolicy(0, 4));
  system.Run(milliseconds(200));
  const std::string id = system.MakeIdFor(0, "deadly");
  const TaskName task{JobId(id), 0, 0, 0};
  for (size_t i = 0; i < system.size(); ++i)
    system.cell(i).crashes_worker = [&](const TaskName& name) {
      return name == task;
    };
  system.Submit(MakeJob(id, "urgent", {MakeLongRunningStep(3, 4)}));
  system.Run(seconds(1));

  SECTION("that a task passes") {
    const size_t first = system.cell(0).CountRunning(id) > 0 ? 0 : 1;
    for (size_t w = 0; w < 8; ++w) {
      if (system.cell(first).worker(w).running.empty())
        system.cell(first).RemoveFromList(w);
    }
    system.Run(seconds(90));
    CrashLog logs[2];
    int ends = 0;
    uint32_t counted = 0;
    for (size_t i = 0; i < system.size(); ++i) {
      ReadDecisions(system.cell(i), logs[i]);
      const auto& crashes = system.cell(i).observations().crashes;
      ends += crashes.count(task) > 0 ? crashes.at(task) : 0;
      counted = std::max(counted, logs[i].last_total);
    }
    INFO(logs[0].lines << "then\n" << logs[1].lines);
    CHECK(system.StateOf(id) == JobState::kFailed);
    CHECK(counted <= static_cast<uint32_t>(ends));
  }
}

}  // namespace
}  // namespace cowslipmast::sched
