// Guards against work that loses its place among the waiting work when another
// owner takes over the cell.

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <vector>

#include "tests/sched/simulated_cell.h"

namespace cowslipmast::sched {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// One worker that runs one task at a time. What is late is not in question.
SimulatedCell MakeBusyCell() {
  SimulatedCell cell;
  cell.AddWorkers(1, 4, 64000);
  QueuePolicy policy = MakePolicy(0, 3);
  policy.objective_offset = seconds(600);
  cell.SetQueue("urgent", policy);
  cell.Run(milliseconds(200));
  cell.Submit(MakeJob("running", "urgent", {MakeStep(1, 4, 1000, 20)}));
  cell.Run(seconds(1));
  return cell;
}

void Submit(SimulatedCell& cell, const std::string& id) {
  cell.Submit(MakeJob(id, "urgent", {MakeStep(1, 4, 1000, 1)}));
  cell.Run(milliseconds(50));
}

std::vector<std::string> InOrderOfEnd(const SimulatedCell& cell,
                                      std::vector<std::string> jobs) {
  std::sort(jobs.begin(), jobs.end(),
            [&cell](const std::string& a, const std::string& b) {
              return cell.EndTimeOf(a) < cell.EndTimeOf(b);
            });
  return jobs;
}

TEST_CASE("jobs wait in the order of their ids after a change of owner",
          "[sched][lost]") {
  SimulatedCell cell = MakeBusyCell();
  const std::vector<std::string> jobs = {"q", "z", "c", "x", "a", "m"};

  SECTION("which had read all of them") {
    for (const std::string& id : jobs)
      Submit(cell, id);
    cell.ReplaceOwner();
  }
  SECTION("and another one") {
    for (const std::string& id : jobs)
      Submit(cell, id);
    cell.ReplaceOwner();
    cell.Run(seconds(1));
    cell.ReplaceOwner();
  }
  SECTION("which some of them come after") {
    for (size_t i = 0; i < 4; ++i)
      Submit(cell, jobs[i]);
    cell.ReplaceOwner();
    for (size_t i = 4; i < jobs.size(); ++i)
      Submit(cell, jobs[i]);
  }
  for (const std::string& id : jobs) {
    cell.RunUntilEnd(id, seconds(60));
    REQUIRE(cell.StateOf(id) == JobState::kCompleted);
  }
  CHECK(InOrderOfEnd(cell, jobs) == jobs);
  CHECK(cell.observations().violations.empty());
}

}  // namespace
}  // namespace cowslipmast::sched
