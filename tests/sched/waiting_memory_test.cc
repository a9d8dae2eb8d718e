// A submission of 150 bytes names 4,000 tasks. Some hundred of them, that no
// worker can run or that were cancelled, took an owner over its memory limit,
// and each owner after it.

#include <catch2/catch.hpp>

#include <malloc.h>

#include <string>

#include "src/sched/jobs.h"
#include "tests/sched/simulated_cell.h"

namespace cowslipmast::sched {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kJobs = 100;
constexpr uint32_t kTasks = 4000;
// So that a process with 260 MB bears 1,000 of them beside its other work.
constexpr size_t kMaxBytesOfJob = size_t{130} * 1024;

size_t AllocatedBytes() {
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

TEST_CASE("tasks that never start use up the memory", "[sched]") {
  SimulatedCell cell;
  cell.AddWorkers(8, 16, 64000);
  cell.SetQueue("batch", MakePolicy(2, 3));
  cell.Run(seconds(1));
  const size_t before = AllocatedBytes();
  for (int i = 0; i < kJobs; ++i) {
    cell.Submit(MakeJob("j" + std::to_string(i), "batch",
                        {MakeStep(kTasks, 900, 1000, 1)}));
    cell.Run(milliseconds(50));
  }
  const auto expect_little = [&] {
    cell.scheduler().TakeDecisions();
    CHECK(AllocatedBytes() < before + kJobs * kMaxBytesOfJob);
  };
  SECTION("while they wait") {
    cell.Run(seconds(5));
    expect_little();
  }
  SECTION("once they are cancelled") {
    for (int i = 0; i < kJobs; ++i)
      cell.Cancel("j" + std::to_string(i));
    cell.Run(seconds(5));
    REQUIRE(cell.StateOf("j0") == JobState::kCancelled);
    expect_little();
    cell.ReplaceOwner();
    cell.Run(seconds(5));
    REQUIRE(cell.StateOf("j0") == JobState::kCancelled);
    expect_little();
  }
  SECTION("in a later owner") {
    cell.ReplaceOwner();
    cell.Run(seconds(5));
    REQUIRE(cell.StateOf("j0") == JobState::kQueued);
    expect_little();
  }
}

TEST_CASE("tasks that are done keep what their runs needed", "[sched]") {
  State state;
  state.restored = true;
  Job& job = AddJobWithoutIterations(
      state, MakeJob("j", "batch", {MakeStep(kTasks, 1, 100, 1)}), TimePoint(),
      WallTime());
  StartFirstIteration(state, job, TimePoint());
  Iteration& iteration = *job.iterations.at(0);
  const auto count_own = [&] {
    size_t count = 0;
    iteration.steps[0].tasks.VisitOwn([&](uint32_t) { ++count; });
    return count;
  };
  for (uint32_t i = 0; i < kTasks / 2; ++i)
    TaskOf(TaskRef{&iteration, 0, i}).progress_percent = 99;
  REQUIRE(count_own() == kTasks / 2);
  for (uint32_t i = 0; i < kTasks; ++i)
    FinishTask(state, TaskRef{&iteration, 0, i}, TimePoint());
  CHECK(job.state == JobState::kCompleted);
  CHECK(count_own() == 0);
}

}  // namespace
}  // namespace cowslipmast::sched
