// A worker that failed its runs gets one task as a probe. A probe that runs for
// long kept all other work off the worker until it ended.

#include <catch2/catch.hpp>

#include "tests/sched/simulated_cell.h"

namespace cowslipmast::sched {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TaskName kUrgent{JobId("urgent"), 0, 0, 0};

StepSpec MakeLabelledStep(uint32_t count, double run_s) {
  StepSpec step = MakeStep(count, 2, 1000, run_s);
  step.label = "g";
  return step;
}

// Only one worker has the label, and has just failed all its runs.
SimulatedCell MakeCellWithAvoidedWorker() {
  SimulatedCell cell;
  cell.AddWorkers(4, 16, 64000);
  cell.SetQueue("urgent", MakePolicy(0, 2));
  cell.SetQueue("batch", MakePolicy(2, 4));
  cell.SetQueue("once", MakePolicy(0, 1));
  cell.worker(0).info.labels = {"g"};
  cell.UpdateWorkerInfo(0);
  cell.Run(milliseconds(100));
  cell.worker(0).fails_all = true;
  cell.Submit(MakeJob("first", "once", {MakeLabelledStep(2, 0.4)}));
  cell.Run(seconds(2));
  cell.worker(0).fails_all = false;
  return cell;
}

TEST_CASE("urgent work waits for a probe that takes long", "[sched]") {
  SimulatedCell cell = MakeCellWithAvoidedWorker();

  SECTION("of a batch job, which began just before") {
    cell.Run(seconds(3));
    cell.Submit(MakeJob("probe", "batch", {MakeLabelledStep(1, 40)}));
    cell.Run(milliseconds(200));
    cell.Submit(MakeJob("urgent", "urgent", {MakeLabelledStep(1, 0.5)}));
    cell.Run(seconds(1));
    CHECK(cell.observations().starts.count(kUrgent) == 1);
  }
  SECTION("of another urgent job, longer than the failed runs took") {
    cell.Submit(MakeJob("probe", "urgent", {MakeLabelledStep(1, 40)}));
    cell.Run(seconds(5));
    cell.Submit(MakeJob("urgent", "urgent", {MakeLabelledStep(1, 0.5)}));
    cell.Run(seconds(1));
    CHECK(cell.observations().starts.count(kUrgent) == 1);
  }
}

TEST_CASE("a worker that still fails is probed with many tasks", "[sched]") {
  SimulatedCell cell = MakeCellWithAvoidedWorker();
  cell.worker(0).fails_all = true;
  cell.Run(seconds(3));
  cell.Submit(MakeJob("batch", "batch", {MakeLabelledStep(6, 1)}));
  cell.Run(milliseconds(200));
  CHECK(cell.CountRunning("batch") == 1);
  cell.Submit(MakeJob("urgent", "urgent", {MakeLabelledStep(6, 1)}));
  cell.Run(milliseconds(200));
  CHECK(cell.CountRunning("urgent") == 1);
  CHECK(cell.CountRunning("batch") == 1);
}

}  // namespace
}  // namespace cowslipmast::sched
