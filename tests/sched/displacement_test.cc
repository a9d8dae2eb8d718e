// Guards against capacity that is held for an overdue task and reaches it late
// or never, and against tasks that are displaced in vain.

#include <catch2/catch.hpp>

#include <string>
#include <vector>

#include "tests/sched/simulated_cells.h"

namespace cowslipmast::sched {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The rule: 3 s, from 6 s after the last run.
constexpr Duration kMaxWithoutRun = seconds(9);

void SetQueues(SimulatedCell& cell) {
  cell.SetQueue("urgent", MakePolicy(0, 2));
  cell.SetQueue("batch", MakePolicy(2, 3));
}

Duration WaitUntilRunning(SimulatedCell& cell, size_t tasks) {
  const TimePoint start = cell.now();
  while (cell.CountRunning("service") < tasks &&
         cell.now() - start < seconds(30))
    cell.Advance();
  return cell.now() - start;
}

// Fills new workers with tasks that run for a minute.
void FillNewWorkers(SimulatedCell& cell,
                    int workers,
                    int64_t cores,
                    const std::string& queue) {
  cell.AddWorkers(workers, cores, 64000, 100);
  cell.Run(seconds(1));
  cell.run_time_s_of = [](const TaskName&) { return 60.0; };
  cell.Submit(MakeJob("short", queue, {MakeStep(200, 1, 500, 60)}));
  cell.Run(seconds(3));
}

// A service on the only worker, and others that short tasks fill.
void StartServiceAndFill(SimulatedCell& cell,
                         const std::string& service_queue,
                         int workers,
                         const std::string& short_queue) {
  SetQueues(cell);
  cell.AddWorkers(1, 10, 64000);
  cell.Run(milliseconds(500));
  cell.Submit(MakeJob("service", service_queue, {MakeLongRunningStep(1, 10)}));
  cell.Run(seconds(3));
  REQUIRE(cell.CountRunning("service") == 1);
  FillNewWorkers(cell, workers, 10, short_queue);
}

TEST_CASE("two tasks of a service lose their workers at different times",
          "[sched]") {
  const int offset_ms = GENERATE(0, 50, 250, 400, 550, 700);
  INFO("leases expire " << offset_ms << " ms apart");
  SimulatedCell cell;
  cell.stop_delay = milliseconds(500);
  SetQueues(cell);
  cell.AddWorkers(1, 16, 64000);
  cell.Run(milliseconds(offset_ms));
  cell.AddWorkers(1, 16, 64000, 50);
  cell.Run(milliseconds(500));
  StepSpec step = MakeLongRunningStep(2, 10);
  step.max_per_worker = 1;
  cell.Submit(MakeJob("service", "urgent", {step}));
  cell.Run(seconds(3));
  REQUIRE(cell.CountRunning("service") == 2);
  FillNewWorkers(cell, 3, 16, "batch");
  cell.RemoveWorker(0);
  cell.RemoveWorker(1);
  cell.Run(milliseconds(500));
  CHECK(WaitUntilRunning(cell, 2) <= kMaxWithoutRun - milliseconds(200));
  CHECK(cell.scheduler().counters().displaced_tasks == 20);
  CHECK(cell.observations().violations.empty());
}

TEST_CASE("a service waits for a run that does not stop", "[sched]") {
  SimulatedCell cell;
  StartServiceAndFill(cell, "urgent", 3, "batch");
  cell.RemoveWorker(0);
  cell.stop_delay = seconds(1000);
  while (cell.scheduler().counters().displaced_tasks == 0)
    cell.Advance();
  cell.Run(milliseconds(200));
  cell.stop_delay = milliseconds(200);
  cell.Run(seconds(20));
  CHECK(cell.CountRunning("service") == 1);
  CHECK(cell.observations().violations.empty());
}

TEST_CASE("a batch service that lost its worker leaves urgent tasks alone",
          "[sched]") {
  SimulatedCell cell;
  StartServiceAndFill(cell, "batch", 1, "urgent");
  REQUIRE(cell.CountRunning("short") == 10);
  cell.RemoveWorker(0);
  cell.Run(seconds(12));
  CHECK(cell.CountRunning("short") == 10);
  CHECK(cell.scheduler().counters().displaced_tasks == 0);
}

// Two cells of which each has a worker with a task that was displaced once.
struct CellsWithDisplacedTasks {
  SimulatedCells system{2, 1, 10};

  CellsWithDisplacedTasks() {
    system.SetQueue("urgent", MakePolicy(0, 2));
    system.SetQueue("batch", MakePolicy(2, 3));
    system.load_arrives = [](size_t, size_t) { return false; };
    for (size_t i = 0; i < system.size(); ++i)
      system.cell(i).run_time_s_of = [](const TaskName&) { return 600.0; };
    system.Run(seconds(1));
    for (size_t i = 0; i < system.size(); ++i)
      Displace(i);
  }

  void Displace(size_t i) {
    SimulatedCell& cell = system.cell(i);
    system.Submit(MakeJob(system.MakeIdFor(i, "first"), "urgent",
                          {MakeLongRunningStep(1, 10)}));
    system.Run(seconds(3));
    cell.AddWorkers(1, 10, 64000, 500 + 100 * i);
    system.Run(seconds(1));
    system.Submit(MakeJob(system.MakeIdFor(i, "short"), "batch",
                          {MakeStep(1, 10, 500, 600)}));
    system.Run(seconds(3));
    cell.RemoveWorker(0);
    system.Run(seconds(10));
    REQUIRE(cell.scheduler().counters().displaced_tasks == 1);
    cell.AddWorkers(1, 10, 64000, 700 + 100 * i);
    system.Run(seconds(3));
  }
};

TEST_CASE("a service moves on and on between cells that have no room",
          "[sched]") {
  CellsWithDisplacedTasks cells;
  SimulatedCells& system = cells.system;
  system.cell(0).AddWorkers(1, 10, 64000, 900);
  system.Run(seconds(1));
  const std::string id = system.MakeIdFor(0, "service");
  system.Submit(MakeJob(id, "urgent", {MakeLongRunningStep(1, 10)}));
  system.Run(seconds(4));
  REQUIRE(system.CountRunning(id) == 1);
  system.load_arrives = nullptr;
  system.Run(seconds(2));
  system.cell(0).RemoveWorker(*system.cell(0).WorkerOf({JobId(id), 0, 0, 0}));
  system.Run(seconds(30));
  CHECK(system.cell(0).scheduler().counters().moved_tasks <= 3);
}

TEST_CASE("two workers are free one plan apart for a service that waits",
          "[sched]") {
  const int gap_ms = GENERATE(0, 10, 20, 50);
  INFO("gap of " << gap_ms << " ms");
  SimulatedCell cell;
  SetQueues(cell);
  cell.AddWorkers(2, 10, 64000);
  cell.Run(milliseconds(500));
  cell.Submit(MakeJob("service", "urgent", {MakeLongRunningStep(2, 10)}));
  cell.Run(seconds(3));
  REQUIRE(cell.CountRunning("service") == 2);
  cell.AddWorkers(2, 10, 64000, 100);
  cell.Run(seconds(1));
  cell.run_time_s_of = [](const TaskName&) { return 600.0; };
  StepSpec gang = MakeStep(1, 10, 500, 600);
  gang.gang = true;  // is not displaced
  for (int i = 0; i < 6; ++i)
    cell.Submit(MakeJob("gang" + std::to_string(i), "batch", {gang}));
  cell.Run(seconds(3));
  cell.RemoveWorker(0);
  cell.Run(milliseconds(300));
  cell.RemoveWorker(1);
  cell.Run(seconds(12));
  REQUIRE(cell.CountRunning("service") == 0);
  std::vector<TaskName> running;
  for (int i = 0; i < 6; ++i) {
    const TaskName name{JobId("gang" + std::to_string(i)), 0, 0, 0};
    if (cell.WorkerOf(name))
      running.push_back(name);
  }
  REQUIRE(running.size() == 2);
  cell.EndRunOf(running[0], RunOutcome::kDone);
  cell.Run(milliseconds(gap_ms));
  cell.EndRunOf(running[1], RunOutcome::kDone);
  cell.Run(seconds(4));
  CHECK(cell.CountRunning("service") == 2);
}

}  // namespace
}  // namespace cowslipmast::sched
