// Guards against long-running tasks that are lost with a worker that announced
// that it leaves: because others take the room for them while they are stopped,
// and because their loss is noted only after a lease as long as any other.

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>

#include "tests/sched/simulated_cell.h"

namespace cowslipmast::sched {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int64_t kCores = 8;
// Of a task that is moved: half a second to stop, and a start.
constexpr Duration kMaxAwayForMove = seconds(2);
// A lease of 3 s, by the slowest clock, a plan and a start.
constexpr Duration kMaxAfterLoss = seconds(4);

/** Workers with room for one task each. */
class SmallWorkers {
 public:
  SmallWorkers() {
    m_cell.stop_delay = milliseconds(500);
    m_cell.SetQueue("urgent", MakePolicy(0, 20));
    m_cell.SetQueue("batch", MakePolicy(2, 20));
    // Keeps the cell from being full.
    m_cell.AddWorkers(1, 128, 500);
    m_cell.Run(seconds(1));
  }

  SimulatedCell& cell() { return m_cell; }

  void AddWorker() {
    m_cell.AddWorkers(1, kCores, 64000);
    m_cell.Run(seconds(1));
  }

  void Submit(const std::string& job) {
    m_cell.Submit(MakeJob(job, "urgent", {MakeLongRunningStep(1, kCores)}));
  }

  /** Starts the task on a new worker. */
  size_t Start(const std::string& job) {
    AddWorker();
    Submit(job);
    m_cell.Run(seconds(3));
    REQUIRE(IsRunning(job));
    return *m_cell.WorkerOf({JobId(job), 0, 0, 0});
  }

  void Drain(size_t worker) {
    m_cell.worker(worker).info.draining = true;
    m_cell.UpdateWorkerInfo(worker);
  }

  bool IsRunning(const std::string& job) const {
    for (size_t i = 0; i < m_cell.worker_count(); ++i) {
      if (m_cell.worker(i).up &&
          m_cell.worker(i).running.count({JobId(job), 0, 0, 0}) > 0)
        return true;
    }
    return false;
  }

  /** Runs, and returns the longest time for which the task has no run. */
  Duration LongestAway(const std::string& job, Duration duration) {
    Duration longest(0);
    TimePoint seen = m_cell.now();
    const TimePoint end = seen + duration;
    while (m_cell.now() < end) {
      m_cell.Advance();
      if (IsRunning(job))
        seen = m_cell.now();
      longest = std::max(longest, m_cell.now() - seen);
    }
    return longest;
  }

 private:
  SimulatedCell m_cell;
};

TEST_CASE("a loss is noted late although the worker had announced it",
          "[sched]") {
  const int drained_ms = GENERATE(1500, 4000, 10000);
  const int latency_ms = GENERATE(0, 100);
  INFO("announced " << drained_ms << " ms before, an append takes "
                    << latency_ms << " ms");
  SmallWorkers site;
  SimulatedCell& cell = site.cell();
  cell.append_latency = milliseconds(latency_ms);
  const size_t source = site.Start("service");
  cell.worker(source).clock_rate = GENERATE(0.985, 1.0, 1.015);
  site.Drain(source);
  cell.Run(milliseconds(drained_ms));
  SECTION("as it is gone") {
    cell.RemoveWorker(source);
    cell.AddWorkers(1, kCores, 64000);
    const Duration away = site.LongestAway("service", seconds(10));
    // Leases that were granted before the announcement last for longer.
    CHECK(away <=
          std::max<Duration>(kMaxAfterLoss,
                             milliseconds(7000) - milliseconds(drained_ms)));
  }
  SECTION("as it is cut off, and its run goes on until its lease ends") {
    cell.worker(source).reachable = false;
    cell.AddWorkers(1, kCores, 64000);
    cell.Run(seconds(10));
  }
  CHECK(site.IsRunning("service"));
  CHECK(cell.observations().violations.empty());
}

TEST_CASE("a task starts before the lease of its worker, which leaves, ends",
          "[sched]") {
  const int drained_ms = GENERATE(0, 50, 300, 800, 2000, 3500);
  const bool owner_changes = GENERATE(false, true);
  INFO("announced " << drained_ms
                    << " ms before, the owner changes: " << owner_changes);
  SmallWorkers site;
  SimulatedCell& cell = site.cell();
  const size_t source = site.Start("service");
  cell.worker(source).clock_rate = 0.985;
  site.Drain(source);
  cell.Run(milliseconds(drained_ms));
  cell.worker(source).reachable = false;
  cell.Run(milliseconds(400));
  if (owner_changes)
    cell.ReplaceOwner();
  cell.AddWorkers(1, kCores, 64000);
  cell.Run(seconds(15));
  CHECK(site.IsRunning("service"));
  CHECK(cell.observations().violations.empty());
}

TEST_CASE("others take the room of a task that leaves a draining worker",
          "[sched]") {
  SmallWorkers site;
  SimulatedCell& cell = site.cell();
  const size_t source = site.Start("service");

  SECTION("short work, while it is stopped") {
    cell.run_time_s_of = [](const TaskName&) { return 2.0; };
    site.Drain(source);
    cell.Run(seconds(1));
    cell.AddWorkers(1, kCores, 64000);
    for (int i = 0; i < 10; ++i)
      cell.Submit(MakeJob("short" + std::to_string(i), "urgent",
                          {MakeStep(20, 1, 500, 2)}));
    CHECK(site.LongestAway("service", seconds(12)) <= kMaxAwayForMove);
  }
  SECTION("a task that never ran, and comes while it is stopped") {
    site.Drain(source);
    cell.Run(seconds(1));
    cell.AddWorkers(1, kCores, 64000);
    const auto is_stopping = [&] {
      const auto& running = cell.worker(source).running;
      return running.size() == 1 && running.begin()->second.stops_at;
    };
    for (int i = 0; i < 400 && !is_stopping(); ++i)
      cell.Advance();
    REQUIRE(is_stopping());
    site.Submit("new");
    CHECK(site.LongestAway("service", seconds(5)) <= kMaxAwayForMove);
    CHECK_FALSE(site.IsRunning("new"));
  }
  SECTION("a task that never ran, and has waited for long") {
    site.Submit("new");
    cell.Run(seconds(5));
    site.Drain(source);
    cell.Run(seconds(1));
    cell.AddWorkers(1, kCores, 64000);
    cell.Run(seconds(3));
    cell.RemoveWorker(source);
    CHECK(site.LongestAway("service", seconds(5)) == Duration(0));
    CHECK_FALSE(site.IsRunning("new"));
  }
  CHECK(cell.observations().violations.empty());
}

TEST_CASE("a task leaves a draining worker for room that a lost one needs",
          "[sched]") {
  SmallWorkers site;
  SimulatedCell& cell = site.cell();
  const size_t source = site.Start("service");
  const size_t lost = site.Start("lost");
  cell.RemoveWorker(lost);
  cell.Run(seconds(8));
  site.Drain(source);
  cell.Run(seconds(1));
  cell.AddWorkers(1, kCores, 64000);
  CHECK(site.LongestAway("service", seconds(5)) == Duration(0));
  CHECK(site.IsRunning("lost"));
  CHECK(cell.observations().violations.empty());
}

}  // namespace
}  // namespace cowslipmast::sched
