// Guards against a workspace that runs more than its cap while several owners
// start its work, and against one whose work is held back for no reason or
// holds back the work of others.

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <vector>

#include "src/sched/workspace_caps.h"
#include "tests/sched/simulated_cells.h"

namespace cowslipmast::sched {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int64_t kCapCores = 40;
constexpr int64_t kTaskCores = 2;

WorkspacePolicy MakeCap(int64_t cores) {
  WorkspacePolicy policy;
  policy.cap.cpu = MilliCores(cores * 1000);
  return policy;
}

std::string SubmitFor(SimulatedCells& system,
                      const std::string& workspace,
                      size_t cell,
                      StepSpec step) {
  std::string id = system.MakeIdFor(cell, workspace);
  JobDefinition job = MakeJob(id, "urgent", {std::move(step)});
  job.workspace = WorkspaceId(workspace);
  system.Submit(job);
  return id;
}

// The most millicores that the workspace had running at any time.
int64_t PeakOf(SimulatedCells& system,
               const std::string& workspace,
               Duration duration) {
  int64_t peak = 0;
  const TimePoint end = system.now() + duration;
  while (system.now() < end) {
    system.Run(kTimeStep);
    peak = std::max(peak, system.RunningOf(workspace).cpu.count());
  }
  return peak;
}

bool HaveCompleted(const SimulatedCells& system,
                   const std::vector<std::string>& jobs) {
  return std::all_of(jobs.begin(), jobs.end(), [&](const std::string& job) {
    return system.StateOf(job) == JobState::kCompleted;
  });
}

TEST_CASE("the parts of a cap", "[sched]") {
  const WorkspaceId workspace("a");
  Resources cap;
  cap.cpu = MilliCores(10'001);
  cap.accelerators = Accelerators(1);
  for (const uint32_t cells : {1U, 2U, 3U, 7U}) {
    const CellLayout layout{kLayoutVersion, cells};
    Resources sum;
    for (uint32_t i = 0; i < cells; ++i) {
      const Resources part = PartOfCap(cap, layout, workspace, CellId(i));
      CHECK(part.memory > Mebibytes(int64_t{1} << 50));
      sum.cpu += part.cpu;
      sum.accelerators += part.accelerators;
    }
    CHECK(sum.cpu == cap.cpu);
    CHECK(sum.accelerators == cap.accelerators);
  }
}

TEST_CASE("a workspace with much more work than its cap", "[sched]") {
  SimulatedCells system(2, 4, 16);
  system.SetQueue("urgent", MakePolicy(0, 4));
  system.SetWorkspace("hot", MakeCap(kCapCores));
  system.SetWorkspace("calm", WorkspacePolicy{});
  system.Run(seconds(1));
  std::vector<std::string> jobs;
  for (size_t i = 0; i < 12; ++i)
    jobs.push_back(
        SubmitFor(system, "hot", i % 2, MakeStep(10, kTaskCores, 1000, 0.8)));
  constexpr int64_t cap = kCapCores * 1000;

  SECTION("uses all of the cap, but no more") {
    const int64_t peak = PeakOf(system, "hot", seconds(3));
    CHECK(peak <= cap);
    CHECK(peak >= cap * 9 / 10);
    system.Run(seconds(7));
    CHECK(HaveCompleted(system, jobs));
  }
  SECTION("leaves the rest to others") {
    system.Run(milliseconds(500));
    const std::string job =
        SubmitFor(system, "calm", 0, MakeStep(10, kTaskCores, 1000, 0.8));
    system.Run(milliseconds(1500));
    CHECK(system.StateOf(job) == JobState::kCompleted);
  }
  SECTION("keeps to the cap while owners change and messages are late") {
    system.repeats_messages = true;
    system.extra_message_delay = [] { return milliseconds(700); };
    int64_t peak = 0;
    for (size_t i = 0; i < 6; ++i) {
      peak = std::max(peak, PeakOf(system, "hot", milliseconds(430)));
      system.cell(i % 2).RemoveOwner(i % 3 == 0);
      peak = std::max(peak, PeakOf(system, "hot", milliseconds(300)));
      system.cell(i % 2).ReplaceOwner();
    }
    peak = std::max(peak, PeakOf(system, "hot", seconds(12)));
    CHECK(peak <= cap);
    CHECK(HaveCompleted(system, jobs));
    CHECK(system.Violations().empty());
  }
  SECTION("keeps to the cap while workers are silent and run on") {
    for (size_t cell = 0; cell < 2; ++cell)
      system.cell(cell).worker(0).reachable = false;
    int64_t peak = PeakOf(system, "hot", seconds(2));
    for (size_t cell = 0; cell < 2; ++cell)
      system.cell(cell).ReplaceOwner();
    peak = std::max(peak, PeakOf(system, "hot", seconds(16)));
    CHECK(peak <= cap);
    for (size_t cell = 0; cell < 2; ++cell)
      system.cell(cell).worker(0).reachable = true;
    peak = std::max(peak, PeakOf(system, "hot", seconds(10)));
    CHECK(peak <= cap);
    CHECK(HaveCompleted(system, jobs));
  }
  SECTION("starts nothing above a cap that was lowered") {
    system.Run(milliseconds(500));
    system.SetWorkspace("hot", MakeCap(kCapCores / 2));
    // What runs already is not stopped.
    system.Run(seconds(1));
    CHECK(PeakOf(system, "hot", seconds(2)) <= cap / 2);
  }
  SECTION("starts nothing more while the store is away") {
    system.Run(milliseconds(300));
    for (size_t cell = 0; cell < 2; ++cell)
      system.cell(cell).store_is_up = false;
    CHECK(PeakOf(system, "hot", seconds(2)) <= cap);
    for (size_t cell = 0; cell < 2; ++cell)
      system.cell(cell).store_is_up = true;
    CHECK(PeakOf(system, "hot", seconds(8)) <= cap);
    CHECK(HaveCompleted(system, jobs));
  }
}

TEST_CASE("a task that needs more than a cell's part of the cap", "[sched]") {
  SimulatedCells system(3, 4, 16);
  system.SetQueue("urgent", MakePolicy(0, 4));
  system.SetWorkspace("wide", MakeCap(21));
  system.Run(seconds(1));
  std::vector<std::string> jobs;
  for (size_t cell = 0; cell < 3; ++cell) {
    jobs.push_back(SubmitFor(system, "wide", cell, MakeStep(2, 12, 1000, 0.4)));
    jobs.push_back(SubmitFor(system, "wide", cell, MakeStep(6, 3, 1000, 0.4)));
  }
  CHECK(PeakOf(system, "wide", seconds(15)) <= 21'000 + 12'000);
  CHECK(HaveCompleted(system, jobs));
}

TEST_CASE("a new owner knows the workspace of a restored job", "[sched]") {
  SimulatedCells system(1, 4, 16);
  system.SetQueue("urgent", MakePolicy(0, 4));
  system.SetWorkspace("a", MakeCap(8));
  system.Run(seconds(1));
  SubmitFor(system, "a", 0, MakeLongRunningStep(6, 2));
  system.Run(seconds(2));
  CHECK(system.RunningOf("a").cpu == MilliCores(8000));
  system.cell(0).ReplaceOwner();
  CHECK(PeakOf(system, "a", seconds(5)) == 8000);
  const std::string dump = system.cell(0).scheduler().Dump(system.now());
  CHECK(dump.find("\"part_of_cap\"") != std::string::npos);
}

}  // namespace
}  // namespace cowslipmast::sched
