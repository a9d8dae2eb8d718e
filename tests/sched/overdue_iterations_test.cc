// A recurring job whose first time is in seconds instead of milliseconds has
// all of its iterations overdue. Created at once, their tasks use up the memory
// of the owner, and of each owner that reads the job after it.

#include <catch2/catch.hpp>

#include "src/sched/jobs.h"
#include "tests/sched/simulated_cell.h"

namespace cowslipmast::sched {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr uint32_t kIterations = 1000;
constexpr uint32_t kTasks = 10;
// Tasks of an accepted job's iteration at most; a job with more iterations
// needs no more memory.
constexpr size_t kMaxTasks = 4000;

JobDefinition MakeOverdueJob(uint32_t iterations, uint32_t tasks) {
  JobDefinition job =
      MakeJob("overdue", "batch", {MakeStep(tasks, 1, 100, 0.1)});
  job.iterations = iterations;
  job.first_due = WallTime() - iterations * minutes(1);
  job.interval = minutes(1);
  return job;
}

size_t CountKeptTasks(const Job& job) {
  size_t tasks = 0;
  for (const auto& [number, iteration] : job.iterations)
    tasks += iteration->steps[0].tasks.size();
  return tasks;
}

void FinishOldest(State& state, Job& job) {
  for (auto& [number, iteration] : job.iterations) {
    if (iteration->unfinished_steps == 0)
      continue;
    Iteration& oldest = *iteration;
    for (uint32_t i = 0; i < oldest.steps[0].tasks.size(); ++i)
      FinishTask(state, TaskRef{&oldest, 0, i}, TimePoint());
    std::erase(state.dirty_iterations, &oldest);
    oldest.dirty = false;
    std::erase_if(state.ready_steps, [&oldest](const ReadyKey& key) {
      return key.iteration == &oldest;
    });
    ForgetDoneIteration(state, job, oldest.number);
    return;
  }
}

TEST_CASE("iterations that are all overdue use up the memory", "[sched]") {
  State state;
  state.restored = true;
  Job& job = AddJobWithoutIterations(state, MakeOverdueJob(kIterations, kTasks),
                                     TimePoint(), WallTime());
  state.upcoming_iterations.emplace(job.spec.first_due, &job);

  uint32_t latest = 0;
  for (uint32_t done = 0; done < kIterations; ++done) {
    CreateDueIterations(state, TimePoint(), WallTime());
    REQUIRE(CountKeptTasks(job) <= kMaxTasks);
    REQUIRE(CountKeptTasks(job) >= kTasks);
    // In order, and none is left out.
    for (const auto& [number, iteration] : job.iterations) {
      REQUIRE(number <= latest + 1);
      latest = std::max(latest, number);
    }
    FinishOldest(state, job);
  }
  CHECK(latest == kIterations - 1);
  CHECK(job.state == JobState::kCompleted);
}

TEST_CASE("an iteration wider than the bound is created alone", "[sched]") {
  State state;
  state.restored = true;
  Job& job = AddJobWithoutIterations(state, MakeOverdueJob(3, kMaxTasks),
                                     TimePoint(), WallTime());
  state.upcoming_iterations.emplace(job.spec.first_due, &job);
  CreateDueIterations(state, TimePoint(), WallTime());
  CHECK(job.iterations.size() == 1);
}

TEST_CASE("overdue iterations are lost with their owner", "[sched]") {
  // Iterations that wait for earlier ones have no record of their own.
  constexpr uint32_t iterations = 300;
  SimulatedCell cell;
  cell.AddWorkers(4, 16, 64000);
  cell.SetQueue("batch", MakePolicy(2, 4));
  cell.SetQueue("urgent", MakePolicy(0, 2));
  cell.Run(milliseconds(100));
  cell.Submit(MakeOverdueJob(iterations, kTasks));

  SECTION("each task runs once, and urgent work in between") {
    cell.Run(seconds(2));
    cell.Submit(MakeJob("a", "urgent", {MakeStep(4, 2, 1000, 0.5)}));
    cell.RunUntilEnd("a", seconds(5));
    CHECK(cell.StateOf("a") == JobState::kCompleted);
    cell.ReplaceOwner();
    cell.RunUntilEnd("overdue", seconds(60));
    CHECK(cell.StateOf("overdue") == JobState::kCompleted);
    const size_t tasks = iterations * kTasks + 4;
    CHECK(cell.observations().done.size() == tasks);
    CHECK(cell.scheduler().counters().lost == 0);
    for (const auto& [task, starts] : cell.observations().starts)
      CHECK(starts == 1);
    CHECK(cell.observations().violations.empty());
  }
  SECTION("a cancellation ends those that wait, for later owners as well") {
    cell.Run(seconds(2));
    cell.Cancel("overdue");
    cell.Run(seconds(2));
    CHECK(cell.StateOf("overdue") == JobState::kCancelled);
    const size_t starts = cell.observations().starts.size();
    cell.ReplaceOwner();
    cell.Run(seconds(20));
    CHECK(cell.StateOf("overdue") == JobState::kCancelled);
    CHECK(cell.observations().starts.size() == starts);
  }
}

}  // namespace
}  // namespace cowslipmast::sched
