// Guards against jobs that are failed although none of their tasks has failed
// or crashed a worker: their workers were partitioned, left, or were lost.

#include <catch2/catch.hpp>

#include <algorithm>

#include "tests/sched/simulated_cell.h"

namespace cowslipmast::sched {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kEnds = 8;
const TaskName kTask{JobId("service"), 0, 0, 0};

SimulatedCell MakeCell() {
  SimulatedCell cell;
  cell.AddWorkers(12, 16, 64000);
  cell.SetQueue("urgent", MakePolicy(0, 4));
  cell.Run(milliseconds(100));
  cell.Submit(MakeJob("service", "urgent", {MakeLongRunningStep(1, 2)}));
  cell.Run(seconds(1));
  return cell;
}

size_t WorkerOfTask(SimulatedCell& cell) {
  for (int i = 0; i < 200 && !cell.WorkerOf(kTask); ++i)
    cell.Run(milliseconds(100));
  const auto worker = cell.WorkerOf(kTask);
  REQUIRE(worker);
  return *worker;
}

void CheckThatJobGoesOn(SimulatedCell& cell) {
  cell.Run(seconds(20));
  CHECK(cell.StateOf("service") == JobState::kActive);
  CHECK(cell.CountRunning("service") == 1);
  CHECK(cell.scheduler().counters().jobs_given_up == 0);
  CHECK(cell.observations().violations.empty());
}

TEST_CASE("a job whose workers end or fall silent without its fault fails",
          "[sched]") {
  SimulatedCell cell = MakeCell();

  SECTION("because partitioned workers are taken off the list") {
    for (int i = 0; i < kEnds; ++i) {
      const size_t worker = WorkerOfTask(cell);
      cell.worker(worker).reachable = false;
      cell.Run(seconds(4));
      cell.RemoveFromList(worker);
      cell.Run(seconds(5));
      cell.worker(worker).reachable = true;
      cell.UpdateWorkerInfo(worker);
      cell.Run(seconds(1));
    }
    CheckThatJobGoesOn(cell);
  }
  SECTION("because partitioned workers are taken off the list after a lapse") {
    for (int i = 0; i < kEnds; ++i) {
      const size_t worker = WorkerOfTask(cell);
      cell.worker(worker).reachable = false;
      cell.Run(seconds(9));
      cell.RemoveFromList(worker);
      cell.worker(worker).reachable = true;
      cell.UpdateWorkerInfo(worker);
      cell.Run(seconds(1));
    }
    CheckThatJobGoesOn(cell);
  }
  SECTION("because workers are lost for good") {
    for (int i = 0; i < kEnds; ++i) {
      const size_t worker = WorkerOfTask(cell);
      cell.RemoveWorker(worker);
      cell.Run(seconds(9));
    }
    CheckThatJobGoesOn(cell);
  }
}

}  // namespace
}  // namespace cowslipmast::sched
