// Guards against starts beyond the capacity of workers that start whatever they
// are told.

#include <catch2/catch.hpp>

#include "tests/sched/simulated_cell.h"

namespace cowslipmast::sched {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

SimulatedCell MakeCell(int workers) {
  SimulatedCell cell;
  cell.AddWorkers(workers, 16, 64000);
  QueuePolicy policy;
  policy.service = ServiceId("pool");
  policy.max_attempts = 4;
  policy.critical_path_factor = 2;
  policy.objective_offset = seconds(1);
  cell.SetQueue("urgent", policy);
  for (int i = 0; i < workers; ++i)
    cell.worker(static_cast<size_t>(i)).guards_capacity = false;
  cell.Run(milliseconds(100));
  return cell;
}

void SetCores(SimulatedCell& cell, size_t worker, int64_t cores) {
  cell.worker(worker).info.capacity.cpu = MilliCores(cores * 1000);
}

TEST_CASE("a worker whose capacity shrinks", "[sched]") {
  SimulatedCell cell = MakeCell(1);

  SECTION("while starts wait for the store, gets only those that fit") {
    cell.Submit(MakeJob("a", "urgent", {MakeStep(4, 4, 1000, 1)}));
    cell.Run(kTimeStep);
    cell.append_latency = seconds(1);
    cell.Run(milliseconds(200));
    SetCores(cell, 0, 8);
    cell.UpdateWorkerInfo(0);
    cell.Run(milliseconds(1200));
    CHECK(cell.CountRunning("a") == 2);
    cell.RunUntilEnd("a", seconds(20));
    CHECK(cell.StateOf("a") == JobState::kCompleted);
    CHECK(cell.observations().violations.empty());
  }
  SECTION("below what runs there, keeps it and gets nothing") {
    cell.Submit(MakeJob("a", "urgent", {MakeStep(4, 4, 1000, 3)}));
    cell.Run(seconds(1));
    SetCores(cell, 0, 6);
    cell.UpdateWorkerInfo(0);
    StepSpec best_effort = MakeStep(1, 1, 1000, 1);
    best_effort.best_effort = true;
    cell.Submit(MakeJob("b", "urgent", {MakeStep(1, 2, 1000, 1)}));
    cell.Submit(MakeJob("c", "urgent", {best_effort}));
    cell.Run(seconds(1));
    CHECK(cell.CountRunning("a") == 4);
    CHECK(cell.CountRunning("b") == 0);
    cell.Run(seconds(10));
    CHECK(cell.StateOf("a") == JobState::kCompleted);
    CHECK(cell.StateOf("b") == JobState::kCompleted);
    CHECK(cell.StateOf("c") == JobState::kCompleted);
    CHECK(cell.observations().violations.empty());
  }
  SECTION("and grows again, is used in full") {
    SetCores(cell, 0, 4);
    cell.UpdateWorkerInfo(0);
    cell.Submit(MakeJob("a", "urgent", {MakeStep(4, 4, 1000, 5)}));
    cell.Run(seconds(1));
    CHECK(cell.CountRunning("a") == 1);
    SetCores(cell, 0, 16);
    cell.UpdateWorkerInfo(0);
    cell.Run(seconds(1));
    CHECK(cell.CountRunning("a") == 4);
    CHECK(cell.observations().violations.empty());
  }
  SECTION("while its runs are being stopped, waits for their end") {
    cell.stop_delay = milliseconds(400);
    cell.Submit(MakeJob("a", "urgent", {MakeStep(4, 4, 1000, 30)}));
    cell.Run(seconds(1));
    SetCores(cell, 0, 12);
    cell.UpdateWorkerInfo(0);
    cell.Cancel("a");
    cell.Submit(MakeJob("b", "urgent", {MakeStep(3, 4, 1000, 1)}));
    cell.Run(milliseconds(200));
    CHECK(cell.CountRunning("a") == 4);
    CHECK(cell.CountRunning("b") == 0);
    cell.Run(seconds(10));
    CHECK(cell.StateOf("b") == JobState::kCompleted);
    CHECK(cell.observations().violations.empty());
  }
  SECTION("as a new instance, before its new size is known, gets nothing") {
    SetCores(cell, 0, 4);
    cell.listing_delay = seconds(3);
    cell.RestartWorker(0);
    // By then its own listing shows the new instance.
    cell.Run(seconds(1));
    cell.Submit(MakeJob("a", "urgent", {MakeStep(4, 4, 1000, 1)}));
    cell.Run(milliseconds(500));
    CHECK(cell.CountRunning("a") == 0);
    cell.Run(seconds(12));
    CHECK(cell.StateOf("a") == JobState::kCompleted);
    CHECK(cell.observations().violations.empty());
  }
  SECTION("when the owner changes, gets what fits beside its runs") {
    cell.Submit(MakeJob("a", "urgent", {MakeStep(2, 4, 1000, 6)}));
    cell.Run(seconds(1));
    SetCores(cell, 0, 8);
    cell.ReplaceOwner();
    cell.Submit(MakeJob("b", "urgent", {MakeStep(2, 4, 1000, 1)}));
    cell.Run(seconds(20));
    CHECK(cell.StateOf("b") == JobState::kCompleted);
    CHECK(cell.observations().violations.empty());
  }
}

TEST_CASE("a worker with a run that no task accounts for", "[sched]") {
  SimulatedCell cell = MakeCell(1);
  cell.stop_delay = seconds(2);
  cell.Submit(MakeJob("old", "urgent", {MakeStep(1, 10, 1000, 0.2)}));
  cell.RunUntilEnd("old", seconds(5));
  SimulatedRun run;
  run.run = RunNumber(9);
  run.total_work_s = run.remaining_work_s = 100;
  cell.worker(0).running[{JobId("old"), 0, 0, 0}] = run;
  cell.Run(seconds(1));

  SECTION("gets only what fits beside it until it has ended") {
    cell.Submit(MakeJob("a", "urgent", {MakeStep(1, 8, 1000, 0.5)}));
    cell.Run(milliseconds(500));
    CHECK(cell.CountRunning("old") == 1);
    CHECK(cell.CountRunning("a") == 0);
    cell.Run(seconds(10));
    CHECK(cell.StateOf("a") == JobState::kCompleted);
    CHECK(cell.observations().violations.empty());
  }
}

}  // namespace
}  // namespace cowslipmast::sched
