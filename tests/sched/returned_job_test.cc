// A job that comes to a cell for the second time has passed through another one
// in between, which must learn of its end, too: it kept the job for good, and
// its next owner sent it away again, so that it ran a second time.

#include <catch2/catch.hpp>

#include <string>

#include "tests/sched/simulated_cells.h"

namespace cowslipmast::sched {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

void SetDraining(SimulatedCells& system, size_t cell, bool draining) {
  system.cell(cell).worker(0).info.draining = draining;
  system.cell(cell).UpdateWorkerInfo(0);
}

TEST_CASE("a job that passes through a cell twice runs a second time",
          "[sched][lost]") {
  SimulatedCells system(3, 1, 16);
  system.SetQueue("batch", MakePolicy(2, 3));
  system.Run(milliseconds(800));
  // The workers of cells 1 and 2 suit the job, and are full for 4 s.
  for (size_t cell = 1; cell < 3; ++cell)
    system.Submit(MakeJob(system.MakeIdFor(cell, "l"), "batch",
                          {MakeStep(1, 16, 1000, 4)}));
  system.Run(milliseconds(100));
  SetDraining(system, 0, true);
  SetDraining(system, 2, true);
  // The other cells have heard of it.
  system.Run(milliseconds(700));
  const std::string job = system.MakeIdFor(0, "j");
  system.Submit(MakeJob(job, "batch", {MakeStep(1, 2, 1000, 0.2)}));
  const auto cell_of_job = [&](size_t from) {
    return system.cell(from).scheduler().StatusOf(JobId(job))->moved_to;
  };
  system.Run(seconds(1));
  REQUIRE(cell_of_job(0) == CellId(1));
  SetDraining(system, 2, false);
  SetDraining(system, 1, true);
  system.Run(seconds(1));
  REQUIRE(cell_of_job(1) == CellId(2));
  SetDraining(system, 1, false);
  SetDraining(system, 2, true);
  system.Run(seconds(1));
  REQUIRE(cell_of_job(2) == CellId(1));
  system.Run(seconds(3));
  REQUIRE(system.StateOf(job) == JobState::kCompleted);

  // Callers may ask for 120 s.
  system.Run(seconds(220));
  for (size_t cell = 0; cell < 3; ++cell)
    CHECK_FALSE(system.cell(cell).scheduler().StatusOf(JobId(job)));
  for (size_t cell = 0; cell < 3; ++cell)
    system.cell(cell).ReplaceOwner();
  system.Run(seconds(5));
  CHECK(system.cell(1).observations().starts.at({JobId(job), 0, 0, 0}) == 1);
  CHECK(system.Violations().empty());
}

}  // namespace
}  // namespace cowslipmast::sched
