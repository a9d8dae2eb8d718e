// Guards against jobs that are failed although none of their tasks has failed
// or crashed a worker: their workers were partitioned, left, or were lost.

#include <catch2/catch.hpp>

#include "tests/sched/ends_without_fault.h"

namespace cowslipmast::sched {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("a job whose workers end or fall silent without its fault fails",
          "[sched]") {
  const bool is_long_running = GENERATE(true, false);
  const bool tells_start_time = GENERATE(true, false);
  EndsScenario scenario =
      MakeEndsScenario(12, is_long_running, tells_start_time);
  INFO(NameOf(scenario));
  SimulatedCell& cell = scenario.cell;

  SECTION("because a worker lists a run as lapsed") {
    Repeat(scenario, [&](size_t worker) {
      cell.worker(worker).reachable = false;
      cell.Run(milliseconds(6050));
      Connect(scenario, worker);
    });
    CHECK(cell.scheduler().counters().lease_expired == kEnds);
    CheckThatJobGoesOn(scenario);
  }
  SECTION("because workers are partitioned for less than their leases") {
    Repeat(scenario, [&](size_t worker) {
      cell.worker(worker).reachable = false;
      cell.Run(seconds(4));
      Connect(scenario, worker);
    });
    CheckThatJobGoesOn(scenario);
  }
  SECTION("because workers are partitioned beyond their leases") {
    Repeat(scenario, [&](size_t worker) {
      cell.worker(worker).reachable = false;
      cell.Run(seconds(9));
      Connect(scenario, worker);
    });
    CheckThatJobGoesOn(scenario);
  }
  SECTION("because partitioned workers are taken off the list") {
    Repeat(scenario, [&](size_t worker) {
      cell.worker(worker).reachable = false;
      cell.Run(seconds(4));
      cell.RemoveFromList(worker);
      cell.Run(seconds(5));
      Connect(scenario, worker);
      cell.UpdateWorkerInfo(worker);
    });
    CheckThatJobGoesOn(scenario);
  }
  SECTION("because partitioned workers are taken off the list after a lapse") {
    Repeat(scenario, [&](size_t worker) {
      cell.worker(worker).reachable = false;
      cell.Run(seconds(9));
      cell.RemoveFromList(worker);
      Connect(scenario, worker);
      cell.UpdateWorkerInfo(worker);
    });
    CheckThatJobGoesOn(scenario);
  }
  SECTION(
      "because workers are off the list as soon as its tasks run elsewhere") {
    for (int i = 0; i < kEnds; ++i) {
      const size_t worker = WorkerOfTask(scenario);
      const int starts = cell.observations().starts.at(TaskOfScenario());
      cell.worker(worker).reachable = false;
      for (int k = 0;
           k < 100 && cell.observations().starts.at(TaskOfScenario()) == starts;
           ++k)
        cell.Run(milliseconds(100));
      cell.RemoveFromList(worker);
      Connect(scenario, worker);
      cell.UpdateWorkerInfo(worker);
    }
    CheckThatJobGoesOn(scenario);
  }
  SECTION("because workers are off the list that go on") {
    Repeat(scenario, [&](size_t worker) {
      cell.RemoveFromList(worker);
      cell.Run(seconds(2));
      cell.worker(worker).reachable = false;
      cell.Run(seconds(1));
      Connect(scenario, worker);
      cell.Run(seconds(1));
      cell.UpdateWorkerInfo(worker);
    });
    CheckThatJobGoesOn(scenario);
  }
  SECTION("because workers restart after their leases have lapsed") {
    Repeat(scenario, [&](size_t worker) {
      cell.Run(seconds(1));
      cell.worker(worker).reachable = false;
      cell.Run(seconds(8));
      Restart(scenario, worker);
      cell.Run(seconds(1));
      Connect(scenario, worker);
    });
    CheckThatJobGoesOn(scenario);
  }
  SECTION("because workers are lost for good") {
    Repeat(scenario, [&](size_t worker) {
      cell.RemoveWorker(worker);
      cell.Run(seconds(9));
    });
    CheckThatJobGoesOn(scenario);
  }
  SECTION("because workers end while a stop is on its way") {
    cell.stop_delay = seconds(100);
    Repeat(scenario, [&](size_t worker) {
      cell.worker(worker).stalls_all_runs = true;
      cell.worker(worker).info.draining = is_long_running;
      cell.UpdateWorkerInfo(worker);
      const uint64_t stops = cell.scheduler().counters().stops;
      for (int i = 0; i < 60 && cell.scheduler().counters().stops == stops; ++i)
        cell.Run(milliseconds(100));
      REQUIRE(cell.scheduler().counters().stops == stops + 1);
      Restart(scenario, worker);
      cell.worker(worker).stalls_all_runs = false;
      cell.UpdateWorkerInfo(worker);
    });
    CheckThatJobGoesOn(scenario);
  }
}

}  // namespace
}  // namespace cowslipmast::sched
