// Guards against jobs that are failed because their worker is replaced as
// planned, or because starts do not reach it.

#include <catch2/catch.hpp>

#include "tests/sched/ends_without_fault.h"

namespace cowslipmast::sched {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// With one worker there is none to which its tasks can move.
TEST_CASE("a job whose only worker is replaced as planned fails", "[sched]") {
  const bool is_long_running = GENERATE(true, false);
  const bool tells_start_time = GENERATE(true, false);
  EndsScenario scenario =
      MakeEndsScenario(1, is_long_running, tells_start_time);
  INFO(NameOf(scenario));
  SimulatedCell& cell = scenario.cell;
  const auto announce = [&](size_t worker) {
    cell.worker(worker).info.draining = true;
    cell.UpdateWorkerInfo(worker);
    cell.Run(milliseconds(50));
  };

  SECTION("because the next instance is listed before it answers") {
    Repeat(scenario, [&](size_t worker) {
      announce(worker);
      Restart(scenario, worker);
      cell.worker(worker).next_listing = cell.now() + milliseconds(200);
      cell.UpdateWorkerInfo(worker);
    });
    CheckThatJobGoesOn(scenario);
  }
  SECTION("because the next instance answers before it is listed") {
    Repeat(scenario, [&](size_t worker) {
      announce(worker);
      Restart(scenario, worker);
    });
    CheckThatJobGoesOn(scenario);
  }
  SECTION("because it is away for longer than its lease") {
    Repeat(scenario, [&](size_t worker) {
      announce(worker);
      cell.StopWorker(worker);
      cell.Run(seconds(9));
      Restart(scenario, worker);
      cell.UpdateWorkerInfo(worker);
    });
    CheckThatJobGoesOn(scenario);
  }
  SECTION("because the next instance leaves as well") {
    Repeat(scenario, [&](size_t worker) {
      announce(worker);
      Restart(scenario, worker);
      cell.worker(worker).next_listing = cell.now() + milliseconds(200);
      cell.worker(worker).info.draining = true;
      cell.UpdateWorkerInfo(worker);
      cell.Run(seconds(9));
      Restart(scenario, worker);
      cell.UpdateWorkerInfo(worker);
    });
    CheckThatJobGoesOn(scenario);
  }
  SECTION("because only an earlier owner knew that it leaves") {
    Repeat(scenario, [&](size_t worker) {
      announce(worker);
      cell.RemoveOwner(true);
      Restart(scenario, worker);
      ReplaceOwner(scenario);
    });
    CheckThatJobGoesOn(scenario);
  }
  SECTION("because starts do not reach it") {
    RepeatBeforeStart(scenario, [&](size_t worker) {
      cell.StopWorker(worker);
      cell.Run(seconds(2));
      Restart(scenario, worker);
    });
    CheckThatJobGoesOn(scenario);
  }
  SECTION("because its next instance refuses starts for the one before") {
    RepeatBeforeStart(scenario, [&](size_t worker) {
      Restart(scenario, worker);
      cell.worker(worker).next_listing = cell.now() + milliseconds(200);
    });
    CheckThatJobGoesOn(scenario);
  }
}

}  // namespace
}  // namespace cowslipmast::sched
