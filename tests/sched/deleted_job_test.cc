// A job is deleted some time after its end. Its records may still be read then:
// the pages of a stream's newest records are no snapshot, and a follower whose
// position has expired reads them again.

#include <catch2/catch.hpp>

#include "tests/sched/simulated_cell.h"

namespace cowslipmast::sched {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

SimulatedCell MakeCell() {
  SimulatedCell cell;
  cell.AddWorkers(4, 16, 64000);
  cell.SetQueue("urgent", MakePolicy(0, 2));
  cell.Run(milliseconds(100));
  return cell;
}

void RunUntilDeleted(SimulatedCell& cell, const std::string& job) {
  cell.RunUntilEnd(job, seconds(10));
  REQUIRE(cell.StateOf(job) == JobState::kCompleted);
  for (int i = 0; i < 300 && cell.StateOf(job); ++i)
    cell.Run(seconds(1));
  REQUIRE_FALSE(cell.StateOf(job));
}

TEST_CASE("records of a deleted job that are read again", "[sched]") {
  SimulatedCell cell = MakeCell();
  const JobDefinition job = MakeJob("a", "urgent", {MakeStep(4, 2, 1000, 0.5)});

  SECTION("do not run a submitted job again") {
    cell.Submit(job);
    RunUntilDeleted(cell, "a");
    cell.Submit(job);
  }
  SECTION("do not run a job again that another cell moved here") {
    const JobTransfer transfer{
        .job = job, .from = CellId(1), .hop = 1, .tasks = {}};
    const CellMessage message{
        CellId(0), TransferKey(job.id, "h1"), EncodeTransfer(transfer), {}};
    cell.Deliver(message);
    cell.Run(milliseconds(100));
    cell.scheduler().OnEndMessageStored(job.id);
    RunUntilDeleted(cell, "a");
    cell.Deliver(message);
  }
  cell.Run(seconds(5));
  CHECK(cell.scheduler().counters().starts == 4);
  CHECK(cell.observations().violations.empty());
}

TEST_CASE("a job that ended during an outage of the store is kept", "[sched]") {
  // Callers learn of the end once it is stored, and may ask for it for 120 s
  // after that.
  SimulatedCell cell = MakeCell();
  cell.Submit(MakeJob("a", "urgent", {MakeStep(4, 2, 1000, 0.5)}));
  cell.Run(milliseconds(300));
  cell.store_is_up = false;
  cell.Run(seconds(60));
  REQUIRE(cell.StateOf("a") == JobState::kActive);
  cell.store_is_up = true;
  cell.Run(seconds(1));
  REQUIRE(cell.StateOf("a") == JobState::kCompleted);
  cell.Run(seconds(120));
  CHECK(cell.StateOf("a") == JobState::kCompleted);
}

TEST_CASE(
    "a job is not completed for callers before its last outcome is stored",
    "[sched]") {
  // The outcome arrives while the append of an earlier one is under way.
  SimulatedCell cell = MakeCell();
  cell.run_time_s_of = [](const TaskName& task) {
    return task.index == 0 ? 0.5 : 1.0;
  };
  cell.Submit(MakeJob("a", "urgent", {MakeStep(2, 2, 1000, 1)}));
  for (int i = 0; i < 200 && cell.scheduler().counters().done == 0; ++i)
    cell.Advance();
  REQUIRE(cell.CountRunning("a") == 1);
  cell.append_latency = seconds(2);
  cell.Run(milliseconds(2500));
  REQUIRE(cell.scheduler().counters().done == 2);
  CHECK(cell.StateOf("a") == JobState::kActive);
  cell.Run(seconds(3));
  CHECK(cell.StateOf("a") == JobState::kCompleted);
}

}  // namespace
}  // namespace cowslipmast::sched
