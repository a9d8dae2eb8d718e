// Workers list progress in whole percents. A run that takes 300 s shows a new
// one every 3 s, and one of hours every few minutes: neither stands still.

#include <catch2/catch.hpp>

#include "tests/sched/simulated_cell.h"

namespace cowslipmast::sched {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

const TaskName kLong{JobId("long"), 0, 0, 0};

// The estimate says 5 s.
SimulatedCell MakeCellWithLongTask(double run_s) {
  SimulatedCell cell;
  cell.AddWorkers(1, 16, 64000);
  cell.SetQueue("batch", MakePolicy(2, 4));
  cell.run_time_s_of = [run_s](const TaskName& task) {
    return task == kLong ? run_s : 0.4;
  };
  cell.Run(milliseconds(100));
  cell.Submit(MakeJob("long", "batch", {MakeStep(1, 2, 1000, 5)}));
  return cell;
}

TEST_CASE("a long run is taken for a stalled one", "[sched]") {
  SECTION("of 300 s: it ends after one start too many at most") {
    SimulatedCell cell = MakeCellWithLongTask(300);
    cell.RunUntilEnd("long", seconds(320));
    CHECK(cell.StateOf("long") == JobState::kCompleted);
    CHECK(cell.observations().starts.at(kLong) <= 2);
  }
  SECTION("of 50 minutes: it ends within a few starts") {
    SimulatedCell cell = MakeCellWithLongTask(3000);
    cell.RunUntilEnd("long", minutes(55));
    CHECK(cell.StateOf("long") == JobState::kCompleted);
  }
  SECTION("its worker gets other work all the time") {
    SimulatedCell cell = MakeCellWithLongTask(300);
    for (int i = 0; i < 20; ++i) {
      const std::string job = "j" + std::to_string(i);
      cell.Submit(MakeJob(job, "batch", {MakeStep(1, 2, 1000, 0.4)}));
      cell.RunUntilEnd(job, seconds(2));
      CHECK(cell.StateOf(job) == JobState::kCompleted);
    }
  }
  SECTION("by an owner that has not seen its start") {
    SimulatedCell cell = MakeCellWithLongTask(3000);
    cell.Run(minutes(20));
    const int starts = cell.observations().starts.at(kLong);
    cell.ReplaceOwner();
    cell.Run(minutes(5));
    CHECK(cell.observations().starts.at(kLong) == starts);
  }
}

TEST_CASE("a run that stands still is found late", "[sched]") {
  SimulatedCell cell = MakeCellWithLongTask(20);
  cell.AddWorkers(1, 16, 64000, 1);

  SECTION("before its first progress") {
    cell.worker(0).stalls_all_runs = true;
    cell.worker(1).stalls_all_runs = true;
    cell.Run(seconds(5));
    CHECK(cell.observations().starts.at(kLong) == 2);
  }
  SECTION("in its middle") {
    cell.Run(seconds(10));
    REQUIRE(cell.observations().starts.at(kLong) == 1);
    cell.worker(0).stalls_all_runs = true;
    cell.worker(1).stalls_all_runs = true;
    cell.Run(seconds(5));
    CHECK(cell.observations().starts.at(kLong) == 2);
  }
}

}  // namespace
}  // namespace cowslipmast::sched
