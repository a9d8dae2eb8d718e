// Guards against waits of lost tasks that are counted too short: a loss is
// noted at the end of a lease, seconds after the run was gone, and a task whose
// run failed in between was then placed first. The wait must also go on under
// the next owner and in the next cell.

#include <catch2/catch.hpp>

#include <string>

#include "tests/sched/simulated_cells.h"

namespace cowslipmast::sched {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int64_t kCores = 10;
// By then an owner that was just replaced takes all leases for expired.
constexpr Duration kAllNoted = seconds(13);

/** A full cell with one worker for each task. A place comes free only when the
 * test ends the filler. */
class FullCell {
 public:
  explicit FullCell(bool early_arrives_first) {
    m_cell.SetQueue("urgent", MakePolicy(0, 20));
    Start("filler");
    Start(early_arrives_first ? "early" : "late");
    Start(early_arrives_first ? "late" : "early");
    // Makes all runs old enough, and all progress stored.
    m_cell.Run(seconds(2));
  }

  SimulatedCell& cell() { return m_cell; }
  SimulatedWorker& WorkerOf(const std::string& job) {
    return m_cell.worker(IndexOf(job));
  }
  size_t IndexOf(const std::string& job) {
    return *m_cell.WorkerOf({JobId(job), 0, 0, 0});
  }

  /** The job's run fails, on a worker that gets no other one. */
  void Fail(const std::string& job) {
    WorkerOf(job).info.draining = true;
    m_cell.UpdateWorkerInfo(IndexOf(job));
    m_cell.EndRunOf({JobId(job), 0, 0, 0}, RunOutcome::kFailed);
  }

  /** Frees a place, which the task without a run since longest must get. */
  void CheckEarlyGoesFirst() {
    REQUIRE(m_cell.CountRunning("early") == 0);
    REQUIRE(m_cell.CountRunning("late") == 0);
    m_cell.Cancel("filler");
    m_cell.Run(seconds(3));
    CHECK(m_cell.CountRunning("early") == 1);
    CHECK(m_cell.CountRunning("late") == 0);
    CHECK(m_cell.observations().violations.empty());
  }

 private:
  void Start(const std::string& job) {
    m_cell.AddWorkers(1, kCores, 64000);
    m_cell.Run(seconds(1));
    m_cell.Submit(MakeJob(job, "urgent", {MakeLongRunningStep(1, kCores)}));
    m_cell.Run(seconds(3));
    REQUIRE(m_cell.CountRunning(job) == 1);
  }

  SimulatedCell m_cell;
};

TEST_CASE("a lost task waits behind one that failed before its loss was noted",
          "[sched]") {
  const bool early_arrives_first = GENERATE(false, true);
  INFO("the job of the lost task arrives first: " << early_arrives_first);
  FullCell site(early_arrives_first);
  SimulatedCell& cell = site.cell();

  SECTION("under one owner") {
    const bool is_silent = GENERATE(false, true);
    INFO("the worker is only silent: " << is_silent);
    if (is_silent)
      site.WorkerOf("early").reachable = false;
    else
      cell.RemoveWorker(site.IndexOf("early"));
    cell.Run(seconds(3));
    site.Fail("late");
    cell.Run(seconds(6));
    site.CheckEarlyGoesFirst();
  }
  SECTION("as the owner changes before the lease has expired") {
    const int change_ms = GENERATE(100, 1000, 2500, 3500, 5000);
    INFO("changes " << change_ms << " ms after the loss");
    cell.RemoveWorker(site.IndexOf("early"));
    const TimePoint lost = cell.now();
    const auto run_until = [&](int ms) {
      cell.Run(lost + milliseconds(ms) - cell.now());
    };
    if (change_ms < 3000) {
      run_until(change_ms);
      cell.ReplaceOwner();
      run_until(3000);
      site.Fail("late");
    } else {
      run_until(3000);
      site.Fail("late");
      run_until(change_ms);
      cell.ReplaceOwner();
    }
    cell.Run(kAllNoted);
    site.CheckEarlyGoesFirst();
  }
  SECTION("as the owner changes once both are noted") {
    const int changes = GENERATE(1, 2, 3);
    INFO(changes << " changes");
    cell.RemoveWorker(site.IndexOf("early"));
    cell.Run(seconds(3));
    site.Fail("late");
    cell.Run(seconds(5));
    for (int i = 0; i < changes; ++i) {
      cell.ReplaceOwner();
      cell.Run(milliseconds(600));
    }
    cell.Run(seconds(2));
    site.CheckEarlyGoesFirst();
  }
  SECTION("as the owner changes twice while the lease lasts") {
    cell.RemoveWorker(site.IndexOf("early"));
    cell.Run(seconds(2));
    cell.ReplaceOwner();
    cell.Run(seconds(1));
    site.Fail("late");
    cell.Run(seconds(1));
    cell.ReplaceOwner();
    cell.Run(kAllNoted);
    site.CheckEarlyGoesFirst();
  }
  SECTION("as the cell is without an owner meanwhile") {
    cell.RemoveWorker(site.IndexOf("early"));
    cell.Run(seconds(1));
    cell.RemoveOwner(true);
    cell.Run(seconds(2));
    site.Fail("late");
    cell.Run(seconds(4));
    cell.ReplaceOwner();
    cell.Run(kAllNoted);
    site.CheckEarlyGoesFirst();
  }
}

/** Shrinks the worker, so that the task cannot return to it. */
void Shrink(FullCell& site, const std::string& job) {
  site.WorkerOf(job).info.capacity.cpu = MilliCores(1000);
  site.cell().UpdateWorkerInfo(site.IndexOf(job));
}

void RunUntilLapsed(FullCell& site, const SimulatedWorker& worker) {
  for (int i = 0; i < 1000 && !worker.running.empty(); ++i)
    site.cell().Advance();
  REQUIRE(worker.running.empty());
}

TEST_CASE("a task whose run has lapsed waits behind one that failed later",
          "[sched]") {
  const bool early_arrives_first = GENERATE(false, true);
  INFO("the job of the lapsed run arrives first: " << early_arrives_first);
  FullCell site(early_arrives_first);
  SimulatedCell& cell = site.cell();
  SimulatedWorker& worker = site.WorkerOf("early");
  worker.reachable = false;

  SECTION("as the worker lists it before the owner has given it up") {
    worker.clock_rate = 1.015;
    Shrink(site, "early");
    RunUntilLapsed(site, worker);
    cell.Run(milliseconds(30));
    site.Fail("late");
    cell.Run(milliseconds(180));
    worker.reachable = true;
    cell.Run(seconds(4));
    site.CheckEarlyGoesFirst();
  }
  SECTION("as the next owner reads it in the listing") {
    // Only a silent worker has its lease recorded for the next owner.
    const int change_ms = GENERATE(100, 1000);
    INFO("changes " << change_ms << " ms after the cut");
    cell.Run(milliseconds(change_ms));
    cell.ReplaceOwner();
    Shrink(site, "early");
    RunUntilLapsed(site, worker);
    cell.Run(milliseconds(800));
    site.Fail("late");
    cell.Run(milliseconds(800));
    worker.reachable = true;
    cell.Run(kAllNoted);
    site.CheckEarlyGoesFirst();
  }
}

/** Two full cells. Only the other cell has workers on which the task that is
 * lost first could run again. */
class TwoFullCells {
 public:
  TwoFullCells() {
    m_cells.SetQueue("urgent", MakePolicy(0, 20));
    m_cells.Run(seconds(1));
    // All stays in its cell at first.
    m_cells.load_arrives = [](size_t, size_t) { return false; };
    filler = Start(1, kCores);
    late = Start(1, kCores);
    Start(0, 2);
    early = Start(0, kCores);
    m_cells.load_arrives = nullptr;
    m_cells.Run(seconds(2));
    m_early_worker = *m_cells.cell(0).WorkerOf({JobId(early), 0, 0, 0});
  }

  SimulatedCells& cells() { return m_cells; }

  void LoseEarly() { m_cells.cell(0).RemoveWorker(m_early_worker); }

  void FailLate() {
    SimulatedCell& cell = m_cells.cell(1);
    const TaskName task{JobId(late), 0, 0, 0};
    const size_t worker = *cell.WorkerOf(task);
    cell.worker(worker).info.draining = true;
    cell.UpdateWorkerInfo(worker);
    cell.EndRunOf(task, RunOutcome::kFailed);
  }

  void CheckEarlyGoesFirst() {
    REQUIRE(m_cells.CountRunning(early) == 0);
    REQUIRE(m_cells.CountRunning(late) == 0);
    m_cells.Cancel(filler);
    m_cells.Run(seconds(3));
    CHECK(m_cells.cell(1).CountRunning(early) == 1);
    CHECK(m_cells.CountRunning(late) == 0);
    CHECK(m_cells.Violations().empty());
  }

  std::string filler;
  std::string early;
  std::string late;

 private:
  std::string Start(size_t cell, int64_t cores) {
    m_cells.cell(cell).AddWorkers(1, cores, 64000, 500 + 500 * cell);
    m_cells.Run(seconds(1));
    std::string id = m_cells.MakeIdFor(cell, "service");
    m_cells.Submit(MakeJob(id, "urgent", {MakeLongRunningStep(1, cores)}));
    m_cells.Run(seconds(3));
    REQUIRE(m_cells.cell(cell).CountRunning(id) == 1);
    return id;
  }

  SimulatedCells m_cells{2, 0, kCores};
  size_t m_early_worker = 0;
};

TEST_CASE("a lost task that has moved waits behind one that failed later",
          "[sched]") {
  TwoFullCells site;
  SimulatedCells& cells = site.cells();

  SECTION("as its wait begins anew in the other cell") {
    site.LoseEarly();
    cells.Run(seconds(3));
    site.FailLate();
    cells.Run(seconds(8));
    site.CheckEarlyGoesFirst();
  }
  SECTION("as the owner of the first cell changes") {
    const int change_ms = GENERATE(1000, 5000, 7000, 8000, 10000);
    INFO("changes " << change_ms << " ms after the loss");
    // The move is pending for some time.
    cells.extra_message_delay = [] { return Duration(seconds(2)); };
    site.LoseEarly();
    cells.Run(milliseconds(1000));
    if (change_ms == 1000)
      cells.cell(0).ReplaceOwner();
    cells.Run(seconds(2));
    site.FailLate();
    if (change_ms > 3000) {
      cells.Run(milliseconds(change_ms - 3000));
      cells.cell(0).ReplaceOwner();
    }
    cells.Run(kAllNoted + seconds(4));
    site.CheckEarlyGoesFirst();
  }
  SECTION("as the owner of the other cell changes") {
    const int change_ms = GENERATE(6000, 7000, 8000, 9000, 10000);
    const int changes = GENERATE(1, 2);
    INFO("changes " << change_ms << " ms after the loss, " << changes
                    << " times");
    site.LoseEarly();
    cells.Run(seconds(3));
    site.FailLate();
    cells.Run(milliseconds(change_ms - 3000));
    for (int i = 0; i < changes; ++i) {
      cells.cell(1).ReplaceOwner();
      cells.Run(milliseconds(700));
    }
    cells.Run(seconds(8));
    site.CheckEarlyGoesFirst();
  }
  SECTION("as messages arrive twice") {
    cells.repeats_messages = true;
    site.LoseEarly();
    cells.Run(seconds(3));
    site.FailLate();
    cells.Run(seconds(15));
    site.CheckEarlyGoesFirst();
  }
}

}  // namespace
}  // namespace cowslipmast::sched
