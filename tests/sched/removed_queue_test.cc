// Jobs of a queue that the operators have removed.

#include <catch2/catch.hpp>

#include <malloc.h>

#include "cowslipmast/sched/job_codec.h"
#include "tests/sched/simulated_cell.h"

namespace cowslipmast::sched {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("a job of a removed queue is not placed after a change of owner",
          "[sched][lost]") {
  SimulatedCell cell;
  cell.AddWorkers(2, 16, 64000);
  cell.SetQueue("q", MakePolicy(0, 2));
  cell.SetQueue("other", MakePolicy(0, 2));
  cell.Run(milliseconds(100));
  std::vector<StepSpec> steps = {MakeStep(2, 2, 1000, 1),
                                 MakeStep(2, 2, 1000, 1)};
  steps[1].depends_on = {0};
  cell.Submit(MakeJob("a", "q", steps));
  cell.Run(milliseconds(300));
  cell.RemoveQueue("q");
  SECTION("with the same owner") {}
  SECTION("with another owner") {
    cell.ReplaceOwner();
  }
  cell.Run(seconds(20));
  CHECK(cell.StateOf("a") == JobState::kCompleted);
}

TEST_CASE("a job of a removed queue fails before its last attempt",
          "[sched][lost]") {
  SimulatedCell cell;
  cell.AddWorkers(2, 16, 64000);
  cell.SetQueue("q", MakePolicy(0, 4));
  cell.SetQueue("other", MakePolicy(0, 4));
  cell.Run(milliseconds(100));
  cell.Submit(MakeJob("a", "q", {MakeStep(2, 2, 1000, 1)}));
  cell.run_fails = [](const TaskName&) { return true; };
  cell.Run(milliseconds(300));
  cell.run_fails = nullptr;
  REQUIRE(cell.CountRunning("a") == 2);
  cell.RemoveQueue("q");
  SECTION("with the same owner") {}
  SECTION("with another owner") {
    cell.ReplaceOwner();
  }
  cell.Run(seconds(5));
  CHECK(cell.StateOf("a") == JobState::kCompleted);
}

TEST_CASE("queues that the operators remove are kept for ever", "[sched]") {
  // Each change of the configuration may name other queues.
  SimulatedCell cell;
  Policy policy;
  const auto change = [&](int version) {
    policy.queues.clear();
    for (int i = 0; i < 500; ++i)
      policy.queues[QueueId("queue-of-a-tenant-" + std::to_string(version) +
                            "-" + std::to_string(i))] = MakePolicy(0, 4);
    cell.scheduler().SetPolicy(policy, cell.now());
  };
  change(0);
  const size_t before = mallinfo2().uordblks;
  for (int version = 1; version < 100; ++version)
    change(version);
  // Twice what the newest configuration takes.
  CHECK(mallinfo2().uordblks < before + size_t{1} * 1024 * 1024);
}

TEST_CASE("the policy of a job's queue is lost in its record", "[sched]") {
  JobDefinition job = MakeJob("a", "q", {MakeStep(2, 2, 1000, 1)});
  job.accepted_policy = MakePolicy(3, 4);
  CHECK(DecodeJob(EncodeJob(job)) == job);
  // As written by earlier versions.
  job.accepted_policy.reset();
  CHECK(DecodeJob(EncodeJob(job)) == job);
}

}  // namespace
}  // namespace cowslipmast::sched
