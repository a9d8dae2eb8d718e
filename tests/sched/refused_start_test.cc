// Jobs whose starts all workers refuse. Guards against a job that is told to
// callers as started although no task of it has a run.

#include <catch2/catch.hpp>

#include "tests/sched/simulated_cell.h"

namespace cowslipmast::sched {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("a job whose starts are refused counts as waiting", "[sched]") {
  SimulatedCell cell;
  cell.AddWorkers(2, 16, 64000);
  cell.SetQueue("q", MakePolicy(0, 4));
  cell.Run(milliseconds(100));
  const auto set_refusing = [&cell](bool refuses) {
    for (size_t i = 0; i < cell.worker_count(); ++i)
      cell.worker(i).refuses_starts = refuses;
  };
  const auto count_waiting = [&cell] {
    return cell.scheduler().CountWaiting(QueueId("q"));
  };
  set_refusing(true);
  cell.Submit(MakeJob("a", "q", {MakeStep(2, 2, 1000, 1)}));
  cell.Run(seconds(2));
  REQUIRE(cell.CountRunning("a") == 0);

  SECTION("while its owner stays") {
    CHECK(count_waiting() == 1);
    CHECK(cell.StateOf("a") == JobState::kQueued);
  }
  SECTION("after a change of owner") {
    cell.ReplaceOwner();
    cell.Run(seconds(1));
    CHECK(count_waiting() == 1);
    CHECK(cell.StateOf("a") == JobState::kQueued);
  }
  SECTION("but not once a task has started") {
    set_refusing(false);
    cell.Run(milliseconds(500));
    REQUIRE(cell.CountRunning("a") == 2);
    CHECK(count_waiting() == 0);
    CHECK(cell.StateOf("a") == JobState::kActive);
    cell.ReplaceOwner();
    CHECK(cell.StateOf("a") == JobState::kActive);
    cell.Run(milliseconds(100));
    CHECK(count_waiting() == 0);
    cell.RunUntilEnd("a", seconds(5));
    CHECK(cell.StateOf("a") == JobState::kCompleted);
  }
  SECTION("but not when its tasks wait again after a run") {
    set_refusing(false);
    cell.run_fails = [](const TaskName&) { return true; };
    cell.Run(milliseconds(1200));
    set_refusing(true);
    cell.Run(seconds(1));
    REQUIRE(cell.CountRunning("a") == 0);
    CHECK(count_waiting() == 0);
    cell.ReplaceOwner();
    cell.Run(seconds(1));
    CHECK(count_waiting() == 0);
    CHECK(cell.StateOf("a") == JobState::kActive);
  }
}

}  // namespace
}  // namespace cowslipmast::sched
