// Guards against a service that gets no worker back because tasks that never
// ran go first.

#include <catch2/catch.hpp>

#include "tests/sched/simulated_cell.h"

namespace cowslipmast::sched {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("a long-running task that lost its worker and one that never ran",
          "[sched]") {
  SimulatedCell cell;
  cell.SetQueue("urgent", MakePolicy(0, 2));
  cell.AddWorkers(2, 10, 64000);
  cell.Run(milliseconds(200));
  StepSpec never_ran = MakeLongRunningStep(1, 10);
  never_ran.label = "large";
  cell.Submit(MakeJob("new", "urgent", {never_ran}));
  cell.Submit(MakeJob("service", "urgent", {MakeLongRunningStep(2, 10)}));
  cell.Run(seconds(4));
  REQUIRE(cell.CountRunning("service") == 2);
  cell.RemoveWorker(1);
  cell.Run(seconds(12));
  REQUIRE(cell.CountRunning("service") == 1);

  SECTION("the lost one gets the next worker") {
    cell.AddWorkers(1, 10, 64000, 100);
    cell.worker(2).info.labels = {"large"};
    cell.UpdateWorkerInfo(2);
    cell.Run(seconds(2));
    CHECK(cell.CountRunning("service") == 2);
    CHECK(cell.CountRunning("new") == 0);
    SECTION("and the other one the one after") {
      cell.AddWorkers(1, 10, 64000, 200);
      cell.worker(3).info.labels = {"large"};
      cell.UpdateWorkerInfo(3);
      cell.Run(seconds(2));
      CHECK(cell.CountRunning("new") == 1);
    }
  }
  CHECK(cell.observations().violations.empty());
}

}  // namespace
}  // namespace cowslipmast::sched
