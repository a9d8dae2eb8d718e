// Long-running tasks that move to other cells one by one.

#include <catch2/catch.hpp>

#include <map>
#include <string>
#include <vector>

#include "tests/sched/simulated_cells.h"

namespace cowslipmast::sched {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Runs the system and counts how often each task moves.
std::map<TaskName, int> CountMoves(SimulatedCells& system, Duration duration) {
  std::map<TaskName, int> moves;
  const TimePoint end = system.now() + duration;
  while (system.now() < end) {
    system.Run(milliseconds(50));
    for (size_t i = 0; i < system.size(); ++i) {
      for (const Decision& decision :
           system.cell(i).scheduler().TakeDecisions())
        moves[decision.task] += decision.event == "run_moved" ? 1 : 0;
    }
  }
  return moves;
}

TEST_CASE("a task moves to a cell whose workers all run one of its step",
          "[sched]") {
  SimulatedCells system(3, 4, 16);
  system.SetQueue("urgent", MakePolicy(0, 2));
  system.Run(seconds(1));
  // 12 workers for 10 tasks of each job, one on each: two of the cells are full
  // of the job.
  StepSpec step = MakeLongRunningStep(10, 1);
  step.max_per_worker = 1;
  std::vector<std::string> jobs;
  for (int i = 0; i < 8; ++i) {
    jobs.push_back(system.MakeIdFor(0, "j"));
    system.Submit(MakeJob(jobs.back(), "urgent", {step}));
  }
  CountMoves(system, seconds(20));
  for (const std::string& job : jobs)
    REQUIRE(system.CountRunning(job) == 10);

  // Six of the jobs have no other worker in this cell.
  system.cell(0).StopWorker(0);
  const std::map<TaskName, int> moves = CountMoves(system, seconds(12));
  for (const std::string& job : jobs)
    CHECK(system.CountRunning(job) == 10);
  int moved = 0;
  for (const auto& [task, count] : moves) {
    CHECK(count <= 1);
    moved += count > 0 ? 1 : 0;
  }
  CHECK(moved == 6);
}

}  // namespace
}  // namespace cowslipmast::sched
