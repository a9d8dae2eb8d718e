// Guards against jobs that stay without a run because a condition of
// opportunistic starts is met by no worker, and nothing relaxes it.

#include <catch2/catch.hpp>

#include <string>
#include <vector>

#include "tests/sched/simulated_cell.h"
#include "tests/sched/simulated_cells.h"

namespace cowslipmast::sched {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kMaxTimeWithoutRun = seconds(3);

StepSpec MakeHeavyStep(uint32_t count, int64_t memory_mb) {
  StepSpec step = MakeStep(count, 3, memory_mb, 2);
  step.best_effort = true;
  step.checkpointing = true;
  step.image = ImageId("heavy");
  return step;
}

StepSpec MakeLatencyCriticalStep(uint32_t count, int64_t memory_mb) {
  StepSpec step = MakeLongRunningStep(count, 4);
  step.need.memory = Mebibytes(memory_mb);
  step.image = ImageId("seats");
  step.latency_target = milliseconds(18);
  step.max_per_worker = 1;
  return step;
}

void AddInterference(SimulatedCell& cell) {
  cell.interference_of = [](const std::string&, const std::string&) {
    return 3.0;
  };
  cell.own_utilisation_of = [](const TaskName& task, double) {
    return 0.45 + 0.02 * task.index;
  };
}

// Each worker has a latency-critical task beside which no heavy task runs at
// full pace, which is learned from the first job.
SimulatedCell MakeCellWithoutHeadroom(int workers, int64_t memory_mb = 1000) {
  SimulatedCell cell;
  cell.AddWorkers(workers, 16, 64000);
  cell.SetQueue("critical", MakePolicy(0, 2));
  cell.SetQueue("batch", MakePolicy(2, 3));
  AddInterference(cell);
  cell.Run(milliseconds(200));
  cell.Submit(MakeJob(
      "seats", "critical",
      {MakeLatencyCriticalStep(static_cast<uint32_t>(workers), memory_mb)}));
  cell.Run(seconds(2));
  cell.Submit(MakeJob("learned", "batch", {MakeHeavyStep(6, 1000)}));
  cell.RunUntilEnd("learned", seconds(60));
  cell.Run(seconds(5));
  return cell;
}

TEST_CASE("a large best-effort task waits for memory that others might need",
          "[sched][lost]") {
  SimulatedCell cell = MakeCellWithoutHeadroom(4, 12000);
  REQUIRE(cell.StateOf("learned") == JobState::kCompleted);
  cell.Submit(MakeJob("large", "batch", {MakeHeavyStep(1, 40000)}));
  cell.Run(kMaxTimeWithoutRun);
  CHECK(cell.CountRunning("large") == 1);
  cell.RunUntilEnd("large", seconds(60));
  CHECK(cell.StateOf("large") == JobState::kCompleted);
}

TEST_CASE("a worker that refuses an opportunistic start is asked for ever",
          "[sched][lost]") {
  SimulatedCell cell = MakeCellWithoutHeadroom(4);
  REQUIRE(cell.StateOf("learned") == JobState::kCompleted);
  // The worker on which the task would disturb least.
  cell.own_utilisation_of = [](const TaskName& task, double) {
    return task.index == 0 ? 0.42 : 0.5;
  };
  cell.Run(seconds(3));
  const auto best = cell.WorkerOf({JobId("seats"), 0, 0, 0});
  REQUIRE(best);
  cell.worker(*best).info.capacity.memory = Mebibytes(1500);
  cell.Submit(MakeJob("heavy", "batch", {MakeHeavyStep(1, 1000)}));
  cell.Run(kMaxTimeWithoutRun);
  REQUIRE(cell.observations().starts_without_capacity > 0);
  CHECK(cell.CountRunning("heavy") == 1);
  cell.RunUntilEnd("heavy", seconds(60));
  CHECK(cell.StateOf("heavy") == JobState::kCompleted);
}

TEST_CASE("a paused run stays on its worker although another one is free",
          "[sched]") {
  SimulatedCell cell = MakeCellWithoutHeadroom(2);
  REQUIRE(cell.StateOf("learned") == JobState::kCompleted);
  cell.own_utilisation_of = [](const TaskName&, double) { return 0.8; };
  cell.Run(seconds(3));
  cell.Submit(MakeJob("heavy", "batch", {MakeHeavyStep(1, 1000)}));
  cell.Run(seconds(4));
  const auto worker = cell.WorkerOf({JobId("heavy"), 0, 0, 0});
  REQUIRE(worker);
  REQUIRE(cell.worker(*worker).running.begin()->second.pace_percent == 0);
  cell.AddWorkers(1, 16, 64000, 8);
  cell.RunUntilEnd("heavy", seconds(60));
  CHECK(cell.StateOf("heavy") == JobState::kCompleted);
}

TEST_CASE("of a best-effort step that lasts only one task runs",
          "[sched][lost]") {
  SimulatedCell cell = MakeCellWithoutHeadroom(4);
  REQUIRE(cell.StateOf("learned") == JobState::kCompleted);
  StepSpec step = MakeHeavyStep(4, 1000);
  step.long_running = true;

  SECTION("in a service that is mostly free") {}
  SECTION("in a service under load") {
    cell.Submit(
        MakeJob("load", "critical",
                {MakeLongRunningStep(4, 4), MakeLongRunningStep(4, 3)}));
    cell.Run(seconds(5));
    REQUIRE(cell.CountRunning("load") == 8);
  }
  cell.Submit(MakeJob("lasting", "batch", {step}));
  cell.Run(kMaxTimeWithoutRun);
  CHECK(cell.CountRunning("lasting") == 4);
}

TEST_CASE("a slowed run that stands still is never started anew", "[sched]") {
  SimulatedCell cell = MakeCellWithoutHeadroom(4);
  REQUIRE(cell.StateOf("learned") == JobState::kCompleted);
  cell.Submit(MakeJob("heavy", "batch", {MakeHeavyStep(1, 1000)}));
  cell.Run(milliseconds(2300));
  const TaskName task{JobId("heavy"), 0, 0, 0};
  const auto worker = cell.WorkerOf(task);
  REQUIRE(worker);
  const uint32_t pace = cell.worker(*worker).running.at(task).pace_percent;
  REQUIRE(pace > 20);
  REQUIRE(pace < 100);
  cell.worker(*worker).stalls_all_runs = true;
  cell.Run(seconds(30));
  CHECK(cell.observations().starts.at(task) > 1);
}

TEST_CASE("the wait for an opportunistic start begins anew in each cell",
          "[sched][lost]") {
  SimulatedCells cells(2, 4, 16);
  cells.SetQueue("critical", MakePolicy(0, 2));
  cells.SetQueue("batch", MakePolicy(2, 3));
  bool loads_arrive = false;
  cells.load_arrives = [&loads_arrive](size_t, size_t) { return loads_arrive; };
  for (size_t i = 0; i < 2; ++i) {
    AddInterference(cells.cell(i));
    cells.Run(seconds(1));
    cells.Submit(MakeJob(cells.MakeIdFor(i, "seats"), "critical",
                         {MakeLatencyCriticalStep(4, 1000)}));
    cells.Run(seconds(2));
    cells.Submit(MakeJob(cells.MakeIdFor(i, "learned"), "batch",
                         {MakeHeavyStep(6, 1000)}));
  }
  cells.Run(seconds(60));
  std::vector<std::string> jobs;
  for (int i = 0; i < 10; ++i) {
    jobs.push_back(cells.MakeIdFor(0, "heavy"));
    cells.Submit(MakeJob(jobs.back(), "batch", {MakeHeavyStep(2, 1000)}));
  }
  cells.Run(milliseconds(1500));
  loads_arrive = true;
  cells.Run(milliseconds(1500));
  CHECK(cells.cell(0).scheduler().counters().moved_jobs > 0);
  for (const std::string& job : jobs)
    CHECK(cells.CountRunning(job) > 0);
}

}  // namespace
}  // namespace cowslipmast::sched
