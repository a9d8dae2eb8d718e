// A gang that is done leaves nothing behind that waits.

#include <catch2/catch.hpp>

#include "tests/sched/simulated_cell.h"

namespace cowslipmast::sched {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

int64_t WaitingMillicores(SimulatedCell& cell) {
  int64_t waiting = 0;
  for (const ServiceLoad& load : cell.scheduler().Load(cell.now()).services)
    waiting += load.waiting.count();
  return waiting;
}

TEST_CASE("a gang that ends while a lost member waits leaves nothing waiting",
          "[sched][lost]") {
  SimulatedCell cell;
  cell.SetQueue("q", MakePolicy(1, 3));
  cell.AddWorkers(2, 16, 64000);
  StepSpec gang = MakeStep(2, 10, 1000, 2.0);
  gang.gang = true;
  cell.Submit(MakeJob("g", "q", {gang, MakeLongRunningStep(1, 2)}));
  cell.Run(milliseconds(1000));
  REQUIRE(cell.CountRunning("g") == 3);

  SECTION("the worker of one member restarts before the other one ends") {
    const TaskName member{JobId("g"), 0, 0, 0};
    const auto worker = cell.WorkerOf(member);
    REQUIRE(worker);
    cell.StopWorker(*worker);
    cell.RestartWorker(*worker);
    cell.Run(milliseconds(900));
    CHECK(WaitingMillicores(cell) > 0);

    SECTION("and once the gang is done nothing of it waits") {
      cell.Run(seconds(3));
      REQUIRE(cell.observations().done.count({JobId("g"), 0, 0, 1}) == 1);
      CHECK(WaitingMillicores(cell) == 0);
      CHECK(cell.scheduler().Waiting(cell.now()).starved_jobs == 0);
    }
  }
}

}  // namespace
}  // namespace cowslipmast::sched
