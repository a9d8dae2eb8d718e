// Guards against overdue work that a new owner takes for new: capacity that
// comes free goes to short work, and what was held for it is lost.

#include <catch2/catch.hpp>

#include <string>

#include "tests/sched/simulated_cell.h"

namespace cowslipmast::sched {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A cell that long-running tasks fill, a service that has lost its worker and
// waits, and short work that waits as well and is not displaced.
class FullCell {
 public:
  FullCell() {
    m_cell.SetQueue("urgent", MakePolicy(0, 2));
    m_cell.AddWorkers(2, 10, 64000);
    m_cell.run_time_s_of = [](const TaskName&) { return 60.0; };
    m_cell.Run(milliseconds(500));
    m_cell.Submit(MakeJob("service", "urgent", {MakeLongRunningStep(1, 10)}));
    m_cell.Run(seconds(3));
    m_cell.Submit(MakeJob("other", "urgent", {MakeLongRunningStep(1, 10)}));
    m_cell.Run(seconds(3));
    REQUIRE(m_cell.CountRunning("service") == 1);
    REQUIRE(m_cell.CountRunning("other") == 1);
    StepSpec gang = MakeStep(1, 1, 500, 60);
    gang.gang = true;
    for (int i = 0; i < 20; ++i)
      m_cell.Submit(MakeJob("short" + std::to_string(i), "urgent", {gang}));
    m_cell.RemoveWorker(*m_cell.WorkerOf({JobId("service"), 0, 0, 0}));
    m_cell.Run(seconds(20));
    REQUIRE(m_cell.CountRunning("service") == 0);
  }

  SimulatedCell& cell() { return m_cell; }

 private:
  SimulatedCell m_cell;
};

TEST_CASE("a service that waits under a new owner", "[sched]") {
  FullCell full;
  SimulatedCell& cell = full.cell();

  SECTION("gets the capacity that comes free just after the change") {
    const int delay_ms = GENERATE(0, 300, 700, 1200);
    INFO(delay_ms << " ms after the change of owner");
    cell.ReplaceOwner();
    cell.Run(milliseconds(delay_ms));
    cell.Cancel("other");
    cell.Run(seconds(2));
    CHECK(cell.CountRunning("service") == 1);
  }
  SECTION("gets it before the change") {
    cell.Cancel("other");
    cell.Run(seconds(2));
    CHECK(cell.CountRunning("service") == 1);
  }
  SECTION("gets it after several changes") {
    for (int i = 0; i < 3; ++i) {
      cell.ReplaceOwner();
      cell.Run(milliseconds(900));
    }
    cell.Cancel("other");
    cell.Run(seconds(2));
    CHECK(cell.CountRunning("service") == 1);
  }
  CHECK(cell.observations().violations.empty());
}

TEST_CASE("the owner ends before the start of a service that waited",
          "[sched]") {
  FullCell full;
  SimulatedCell& cell = full.cell();
  cell.Cancel("other");
  // The record of the planned start is stored, and the start is not sent.
  cell.RemoveOwner(true);
  cell.Run(milliseconds(500));
  cell.ReplaceOwner();
  cell.Run(seconds(3));
  CHECK(cell.CountRunning("service") == 1);
  CHECK(cell.observations().violations.empty());
}

}  // namespace
}  // namespace cowslipmast::sched
