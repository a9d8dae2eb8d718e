// Guards against tasks that wait for a worker although the service has
// capacity for them.

#include <catch2/catch.hpp>

#include "tests/sched/simulated_cells.h"

namespace cowslipmast::sched {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

QueuePolicy MakePolicy(uint32_t priority, uint32_t max_attempts) {
  QueuePolicy policy;
  policy.service = ServiceId("pool");
  policy.priority = priority;
  policy.max_attempts = max_attempts;
  policy.critical_path_factor = 2;
  policy.objective_offset = seconds(1);
  return policy;
}

StepSpec MakeLongRunningStep(uint32_t count, int64_t cores) {
  StepSpec step = MakeStep(count, cores, 1000, 0);
  step.long_running = true;
  return step;
}

// Cells of eight workers with 16 cores each.
std::unique_ptr<SimulatedCells> MakeCells(uint32_t cells) {
  auto system = std::make_unique<SimulatedCells>(cells, 8, 16);
  system->SetQueue("urgent", MakePolicy(0, 2));
  system->SetQueue("batch", MakePolicy(2, 2));
  system->Run(milliseconds(200));
  return system;
}

// Submits long-running tasks of 4 cores that the cell accepts.
std::string SubmitLongRunning(SimulatedCells& system,
                              size_t cell,
                              uint32_t count,
                              int64_t cores = 4) {
  const std::string job = system.MakeIdFor(cell, "s");
  system.Submit(MakeJob(job, "urgent", {MakeLongRunningStep(count, cores)}));
  return job;
}

TEST_CASE("an overdue task waits although each cell has capacity for one",
          "[sched]") {
  const auto system = MakeCells(2);
  // 31 of the 32 tasks that each cell can run: 97% of its processors.
  for (size_t cell = 0; cell < system->size(); ++cell)
    SubmitLongRunning(*system, cell, 31);
  system->Run(seconds(4));
  const std::string job = SubmitLongRunning(*system, 0, 1);
  system->Run(seconds(3));
  CHECK(system->CountRunning(job) == 1);
  CHECK(system->Violations().empty());
}

TEST_CASE("a task that has just ended hides overdue tasks of its step",
          "[sched]") {
  // Each worker can run one task; two of the eight are lost.
  SimulatedCell cell;
  cell.AddWorkers(8, 4, 64000);
  cell.SetQueue("urgent", MakePolicy(0, 2));
  cell.Run(milliseconds(200));
  cell.Submit(MakeJob("s", "urgent", {MakeLongRunningStep(8, 4)}));
  cell.Run(seconds(3));
  REQUIRE(cell.CountRunning("s") == 8);
  for (const size_t lost : {6, 7}) {
    cell.worker(lost).up = false;
    cell.RemoveFromList(lost);
  }
  cell.Run(seconds(12));
  REQUIRE(cell.CountRunning("s") == 6);
  // From now on one more task ends each second.
  for (size_t restarted = 0; restarted < 6; ++restarted) {
    cell.RestartWorker(restarted);
    cell.Run(seconds(1));
    CHECK(cell.CountRunning("s") == 6);
  }
  CHECK(cell.observations().violations.empty());
}

}  // namespace
}  // namespace cowslipmast::sched
