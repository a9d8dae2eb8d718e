// Guards against the wrong order of long-running tasks that wait for a worker:
// by the arrival of their jobs instead of the time without a run, and with
// tasks that never ran among those that lost their runs, as a run number rises
// with a move to another cell and with a start that does not arrive.

#include <catch2/catch.hpp>

#include <string>

#include "tests/sched/simulated_cells.h"

namespace cowslipmast::sched {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int64_t kCores = 10;

/** A cell of workers that a task fills each. Places come free only when the
 * test ends one of the fillers. */
class FullCell {
 public:
  explicit FullCell(int fillers, int64_t cores_of_filler = kCores) {
    m_cell.SetQueue("urgent", MakePolicy(0, 20));
    for (int i = 0; i < fillers; ++i)
      Start("filler" + std::to_string(i), 1, 1, cores_of_filler);
  }

  SimulatedCell& cell() { return m_cell; }

  /** Submits tasks of which so many get a worker. */
  void Start(const std::string& job,
             uint32_t tasks = 1,
             int workers = 1,
             int64_t cores = kCores) {
    m_cell.AddWorkers(workers, cores, 64000);
    m_cell.Run(seconds(1));
    m_cell.Submit(MakeJob(job, "urgent", {MakeLongRunningStep(tasks, cores)}));
    m_cell.Run(seconds(3));
    REQUIRE(m_cell.CountRunning(job) == static_cast<size_t>(workers));
  }

  bool IsRunning(const std::string& job, uint32_t index = 0) const {
    const auto worker = m_cell.WorkerOf({JobId(job), 0, 0, index});
    return worker && m_cell.worker(*worker).up;
  }

  /** The run fails, on a worker that gets no other one. */
  void Fail(const std::string& job, uint32_t index = 0) {
    const TaskName task{JobId(job), 0, 0, index};
    const size_t worker = *m_cell.WorkerOf(task);
    m_cell.worker(worker).info.draining = true;
    m_cell.UpdateWorkerInfo(worker);
    m_cell.EndRunOf(task, RunOutcome::kFailed);
  }

  void FreePlaces(int count) {
    for (int i = 0; i < count; ++i)
      m_cell.Cancel("filler" + std::to_string(i));
    m_cell.Run(seconds(3));
  }

 private:
  SimulatedCell m_cell;
};

TEST_CASE("a lost task waits behind one that was lost later", "[sched]") {
  SECTION("as its job arrived later") {
    FullCell site(1);
    site.Start("late");
    site.Start("early");
    site.Fail("early");
    site.cell().Run(seconds(2));
    site.Fail("late");
    site.cell().Run(seconds(3));
    site.FreePlaces(1);
    CHECK(site.IsRunning("early"));
    CHECK_FALSE(site.IsRunning("late"));
    CHECK(site.cell().observations().violations.empty());
  }
  SECTION("as a task of the same step has waited for long") {
    const bool other_arrives_first = GENERATE(false, true);
    INFO("the other job arrives first: " << other_arrives_first);
    FullCell site(2);
    if (other_arrives_first)
      site.Start("other");
    site.Start("pair", 2, 2);
    if (!other_arrives_first)
      site.Start("other");
    site.Fail("pair", 0);
    site.cell().Run(seconds(2));
    site.Fail("other");
    site.cell().Run(seconds(2));
    site.Fail("pair", 1);
    site.cell().Run(seconds(3));
    site.FreePlaces(2);
    CHECK(site.IsRunning("pair", 0));
    CHECK(site.IsRunning("other"));
    CHECK_FALSE(site.IsRunning("pair", 1));
    CHECK(site.cell().observations().violations.empty());
  }
}

TEST_CASE("a lost task waits behind one that never ran", "[sched]") {
  SECTION("of a job that arrived first") {
    FullCell site(1, 2 * kCores);
    site.cell().Submit(
        MakeJob("new", "urgent", {MakeLongRunningStep(1, 2 * kCores)}));
    site.Start("lost");
    site.Fail("lost");
    site.cell().Run(seconds(3));
    site.FreePlaces(1);
    CHECK(site.IsRunning("lost"));
    CHECK_FALSE(site.IsRunning("new"));
    CHECK(site.cell().observations().violations.empty());
  }
  SECTION("of the same step") {
    const uint32_t lost = GENERATE(0, 1);
    INFO("task " << lost << " is lost");
    FullCell site(1);
    site.Start("service", 3, 2);
    REQUIRE(site.IsRunning("service", lost));
    site.Fail("service", lost);
    site.cell().Run(seconds(3));
    site.FreePlaces(1);
    CHECK(site.IsRunning("service", lost));
    CHECK_FALSE(site.IsRunning("service", 2));
    CHECK(site.cell().observations().violations.empty());
  }
  SECTION("as the start of that one did not arrive") {
    const bool owner_changes = GENERATE(false, true);
    INFO("the owner changes: " << owner_changes);
    FullCell site(1, 2 * kCores);
    SimulatedCell& cell = site.cell();
    cell.AddWorkers(1, 2 * kCores, 64000);
    cell.Run(seconds(1));
    cell.worker(1).reachable = false;
    cell.Submit(MakeJob("new", "urgent", {MakeLongRunningStep(1, 2 * kCores)}));
    cell.Run(seconds(1));
    cell.RemoveWorker(1);
    cell.Run(seconds(8));
    site.Start("lost");
    REQUIRE(cell.observations().starts.count({JobId("new"), 0, 0, 0}) == 0);
    site.Fail("lost");
    cell.Run(seconds(2));
    if (owner_changes)
      cell.ReplaceOwner();
    cell.Run(seconds(3));
    site.FreePlaces(1);
    CHECK(site.IsRunning("lost"));
    CHECK_FALSE(site.IsRunning("new"));
    CHECK(cell.observations().violations.empty());
  }
}

/** Fills the cell with short work that needs long. */
void AddShortWork(SimulatedCell& cell) {
  cell.run_time_s_of = [](const TaskName&) { return 60.0; };
  cell.Submit(MakeJob("short", "urgent", {MakeStep(kCores, 1, 500, 60)}));
}

TEST_CASE("short work makes room for a task that never ran", "[sched]") {
  SECTION("as its start did not arrive") {
    SimulatedCell cell;
    cell.SetQueue("urgent", MakePolicy(0, 20));
    cell.AddWorkers(1, kCores, 64000);
    cell.Run(seconds(1));
    AddShortWork(cell);
    cell.Run(seconds(1));
    cell.AddWorkers(1, kCores, 64000);
    cell.Run(seconds(1));
    cell.worker(1).reachable = false;
    cell.Submit(MakeJob("new", "urgent", {MakeLongRunningStep(1, kCores)}));
    cell.Run(seconds(1));
    cell.RemoveWorker(1);
    SECTION("and the owner stays") {
      cell.Run(seconds(20));
    }
    SECTION("and the owner changes") {
      cell.Run(seconds(8));
      cell.ReplaceOwner();
      cell.Run(seconds(12));
    }
    REQUIRE(cell.observations().starts.count({JobId("new"), 0, 0, 0}) == 0);
    CHECK(cell.CountRunning("short") == kCores);
    CHECK(cell.observations().violations.empty());
  }
  SECTION("as it has moved to another cell") {
    SimulatedCells cells(2, 0, kCores);
    cells.SetQueue("urgent", MakePolicy(0, 20));
    cells.cell(0).AddWorkers(1, 2, 64000, 500);
    cells.cell(1).AddWorkers(1, kCores, 64000, 1000);
    cells.load_arrives = [](size_t, size_t) { return false; };
    cells.Run(seconds(1));
    cells.cell(1).run_time_s_of = [](const TaskName&) { return 60.0; };
    const std::string short_work = cells.MakeIdFor(1, "short");
    cells.Submit(MakeJob(short_work, "urgent", {MakeStep(kCores, 1, 500, 60)}));
    cells.Run(seconds(1));
    REQUIRE(cells.CountRunning(short_work) == kCores);
    cells.load_arrives = nullptr;
    const std::string id = cells.MakeIdFor(0, "new");
    // The first step keeps the job in its cell.
    cells.Submit(
        MakeJob(id, "urgent",
                {MakeLongRunningStep(1, 1), MakeLongRunningStep(1, kCores)}));
    cells.Run(seconds(15));
    REQUIRE(cells.cell(0).CountRunning(id) == 1);
    CHECK(cells.cell(1).CountRunning(short_work) == kCores);
    CHECK(cells.cell(1).CountRunning(id) == 0);
    CHECK(cells.Violations().empty());
  }
}

}  // namespace
}  // namespace cowslipmast::sched
