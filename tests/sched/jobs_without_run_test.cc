// Guards against best-effort jobs without a run that are left out because of
// others, although a worker may run them.

#include <catch2/catch.hpp>

#include <string>

#include "tests/sched/simulated_cell.h"

namespace cowslipmast::sched {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

StepSpec MakeBestEffortStep() {
  StepSpec step = MakeStep(1, 3, 2000, 20);
  step.best_effort = true;
  step.image = ImageId("heavy");
  return step;
}

// One worker, whose latency-critical task leaves no headroom.
SimulatedCell MakeCellWithoutHeadroom() {
  SimulatedCell cell;
  cell.AddWorkers(1, 16, 64000);
  cell.SetQueue("critical", MakePolicy(0, 2));
  cell.SetQueue("normal", MakePolicy(1, 3));
  cell.SetQueue("batch", MakePolicy(2, 3));
  cell.interference_of = [](const std::string&, const std::string&) {
    return 3.0;
  };
  cell.own_utilisation_of = [](const TaskName&, double) { return 0.97; };
  cell.Run(milliseconds(200));
  StepSpec critical = MakeLongRunningStep(1, 3);
  critical.image = ImageId("seats");
  critical.latency_target = milliseconds(18);
  cell.Submit(MakeJob("seats", "critical", {critical}));
  cell.Run(seconds(3));
  return cell;
}

// A probe of the priority of "batch" runs on the worker, whose runs have
// failed.
void StartProbe(SimulatedCell& cell) {
  cell.worker(0).fails_all = true;
  cell.Submit(MakeJob("failing", "batch", {MakeStep(2, 1, 1000, 0.2)}));
  cell.Run(seconds(1));
  cell.Cancel("failing");
  cell.worker(0).fails_all = false;
  cell.Run(seconds(5));
  cell.Submit(MakeJob("probe", "batch", {MakeStep(1, 1, 1000, 1000)}));
  cell.Run(milliseconds(200));
}

TEST_CASE("a job without a run waits with a less urgent one", "[sched][lost]") {
  SimulatedCell cell = MakeCellWithoutHeadroom();

  SECTION("which waits for a worker that has not shown that it works") {
    StartProbe(cell);
    REQUIRE(cell.CountRunning("probe") == 1);
  }
  cell.Submit(MakeJob("less-urgent", "batch", {MakeBestEffortStep()}));
  cell.Run(milliseconds(100));
  cell.Submit(MakeJob("urgent", "normal", {MakeBestEffortStep()}));
  cell.Run(seconds(3));
  CHECK(cell.CountRunning("urgent") == 1);
  CHECK(cell.observations().violations.empty());
}

TEST_CASE("a job without a run waits behind many that find no worker",
          "[sched][lost]") {
  SimulatedCell cell = MakeCellWithoutHeadroom();
  StepSpec unsuitable = MakeBestEffortStep();
  unsuitable.label = "missing";
  for (int i = 0; i < 60; ++i)
    cell.Submit(MakeJob(std::to_string(i), "batch", {unsuitable}));
  cell.Run(milliseconds(100));
  cell.Submit(MakeJob("suitable", "batch", {MakeBestEffortStep()}));
  cell.Run(seconds(4));
  CHECK(cell.CountRunning("suitable") == 1);
  CHECK(cell.observations().violations.empty());
}

TEST_CASE("a job has no run since another leaves it too little memory",
          "[sched][lost]") {
  SimulatedCell cell = MakeCellWithoutHeadroom();
  cell.run_time_s_of = [](const TaskName&) { return 300.0; };
  StepSpec step = MakeBestEffortStep();
  step.need.memory = Mebibytes(18000);
  cell.Submit(MakeJob("first", "batch", {step}));
  cell.Run(seconds(3));
  REQUIRE(cell.CountRunning("first") == 1);
  // With both of them less than a quarter of the memory is left.
  step.need.memory = Mebibytes(32000);
  cell.Submit(MakeJob("second", "batch", {step}));
  cell.Run(seconds(3));
  CHECK(cell.CountRunning("second") == 1);
  CHECK(cell.observations().violations.empty());
}

}  // namespace
}  // namespace cowslipmast::sched
