// Guards against best-effort jobs that stay in a cell whose processors are
// reserved although another cell is mostly free.

#include <catch2/catch.hpp>

#include <string>
#include <vector>

#include "tests/sched/simulated_cells.h"

namespace cowslipmast::sched {
namespace {

using std::chrono::seconds;

StepSpec MakeBestEffortStep(uint32_t count, int64_t cores) {
  StepSpec step = MakeStep(count, cores, 1000, 1000);
  step.best_effort = true;
  step.checkpointing = true;
  step.image = ImageId("light");
  return step;
}

TEST_CASE("best-effort jobs stay in a full cell beside one that is mostly free",
          "[.known-red]") {
  SimulatedCells system(2, 6, 16);
  system.SetQueue("urgent", MakePolicy(1, 2));
  system.SetQueue("batch", MakePolicy(2, 3));
  for (size_t i = 0; i < system.size(); ++i)
    system.cell(i).run_time_s_of = [](const TaskName&) { return 1000.0; };
  system.Run(seconds(1));
  // Best-effort tasks use all processors of both cells, others reserve most of
  // cell 0.
  for (size_t i = 0; i < system.size(); ++i)
    system.Submit(MakeJob(system.MakeIdFor(i, "light"), "batch",
                          {MakeBestEffortStep(60, 4)}));
  system.Run(seconds(4));
  for (int i = 0; i < 6; ++i)
    system.Submit(MakeJob(system.MakeIdFor(0, "short"), "urgent",
                          {MakeStep(1, 14, 1000, 1000)}));
  system.Run(seconds(4));

  std::vector<std::string> jobs;
  for (int i = 0; i < 20; ++i) {
    jobs.push_back(system.MakeIdFor(0, "waits"));
    system.Submit(MakeJob(jobs.back(), "batch", {MakeBestEffortStep(1, 3)}));
  }
  system.Run(seconds(10));
  for (const std::string& job : jobs)
    CHECK(system.CountRunning(job) == 1);
  CHECK(system.Violations().empty());
}

}  // namespace
}  // namespace cowslipmast::sched
