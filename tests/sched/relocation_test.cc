// Guards against moves of long-running tasks that leave a task without a run.

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <random>
#include <string>
#include <vector>

#include "tests/sched/simulated_cell.h"

namespace cowslipmast::sched {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

SchedulerOptions WithRelocation() {
  SchedulerOptions options;
  options.features.relocation = true;
  return options;
}

class PartlyFullCell {
 public:
  PartlyFullCell() {
    m_cell.stop_delay = milliseconds(500);
    m_cell.SetQueue("urgent", MakePolicy(0, 2));
    m_cell.SetQueue("batch", MakePolicy(2, 3));
  }

  size_t AddWorker(int64_t cores, int64_t memory_mb = 250000) {
    m_cell.AddWorkers(1, cores, memory_mb);
    m_cell.Run(seconds(1));
    return m_cell.worker_count() - 1;
  }

  TaskName Start(size_t worker,
                 const std::string& job,
                 int64_t cores,
                 const std::string& queue = "urgent",
                 int64_t memory_mb = 1000) {
    StepSpec step = MakeLongRunningStep(1, cores);
    step.need.memory = Mebibytes(memory_mb);
    m_cell.Submit(MakeJob(job, queue, {step}));
    m_cell.Run(seconds(2));
    TaskName task{JobId(job), 0, 0, 0};
    REQUIRE(m_cell.WorkerOf(task) == worker);
    return task;
  }

  bool IsRunning(const TaskName& task) const {
    const auto worker = m_cell.WorkerOf(task);
    return worker && m_cell.worker(*worker).up;
  }

  /** Runs, and returns the longest time for which the task has no run. */
  Duration LongestAway(const TaskName& task, Duration duration) {
    Duration longest(0);
    TimePoint seen = m_cell.now();
    const TimePoint end = seen + duration;
    while (m_cell.now() < end) {
      m_cell.Advance();
      if (IsRunning(task))
        seen = m_cell.now();
      longest = std::max(longest, m_cell.now() - seen);
    }
    return longest;
  }

  SimulatedCell& cell() { return m_cell; }

 private:
  SimulatedCell m_cell{WithRelocation()};
};

TEST_CASE("two tasks that must not share a worker move at the same time",
          "[sched]") {
  PartlyFullCell site;
  SimulatedCell& cell = site.cell();
  const size_t first = site.AddWorker(64);
  site.Start(first, "first-base", 48);
  StepSpec pair = MakeLongRunningStep(2, 8);
  pair.max_per_worker = 1;
  cell.Submit(MakeJob("pair", "urgent", {pair}));
  cell.Run(seconds(2));
  const size_t second = site.AddWorker(64);
  cell.Run(seconds(4));
  REQUIRE(cell.CountRunning("pair") == 2);
  site.Start(second, "second-base", 48);
  std::vector<TaskName> waiting;
  std::vector<size_t> lost;
  for (int i = 0; i < 2; ++i) {
    lost.push_back(site.AddWorker(13));
    waiting.push_back(site.Start(lost.back(), "waiting" + std::to_string(i), 13,
                                 "urgent", 50000));
  }
  const bool one_target = GENERATE(true, false);
  INFO((one_target ? "one target with 16 cores" : "two targets with 8 cores"));
  // Both fit there, but for the limit.
  site.AddWorker(one_target ? 16 : 8, 40000);
  if (!one_target)
    site.AddWorker(8, 40000);
  for (const size_t worker : lost)
    cell.RemoveWorker(worker);
  Duration below_two(0);
  TimePoint seen = cell.now();
  const TimePoint end = seen + seconds(20);
  while (cell.now() < end) {
    cell.Advance();
    if (cell.CountRunning("pair") == 2)
      seen = cell.now();
    below_two = std::max(below_two, cell.now() - seen);
  }
  CHECK(below_two <= seconds(4));
  CHECK(cell.CountRunning("pair") == 2);
  INFO("waiting tasks that run: " << site.IsRunning(waiting[0])
                                  << site.IsRunning(waiting[1]));
  CHECK(cell.observations().violations.empty());
}

TEST_CASE("the owner is replaced just after a task has moved", "[sched]") {
  PartlyFullCell site;
  SimulatedCell& cell = site.cell();
  const size_t source = site.AddWorker(64);
  site.Start(source, "source-base", 48);
  const TaskName small = site.Start(source, "small", 8);
  const size_t second_worker = site.AddWorker(12);
  const TaskName second = site.Start(second_worker, "second", 12);
  const size_t first_worker = site.AddWorker(13);
  const TaskName first = site.Start(first_worker, "first", 13);
  const size_t target = site.AddWorker(64);
  site.Start(target, "target-base", 52);

  const bool replaced = GENERATE(false, true);
  INFO("replaced: " << replaced);
  cell.RemoveWorker(first_worker);
  cell.Run(milliseconds(1500));
  cell.RemoveWorker(second_worker);
  const TimePoint limit = cell.now() + seconds(15);
  while (cell.WorkerOf(small) != target && cell.now() < limit)
    cell.Advance();
  REQUIRE(cell.WorkerOf(small) == target);
  const TimePoint moved = cell.now();
  cell.AddWorkers(1, 8, 250000);
  if (replaced) {
    cell.Run(milliseconds(100));
    cell.ReplaceOwner();
  }
  while (cell.WorkerOf(small) == target && cell.now() < moved + seconds(30))
    cell.Advance();
  INFO("ms from start to the end of the run: " << (cell.now() - moved) /
                                                      milliseconds(1));
  CHECK(cell.now() - moved >= seconds(9));
  CHECK(cell.observations().violations.empty());
}

TEST_CASE("a task that moves fits on an unhealthy worker and a healthy one",
          "[sched]") {
  PartlyFullCell site;
  SimulatedCell& cell = site.cell();
  const size_t source = site.AddWorker(64);
  site.Start(source, "source-base", 48);
  const TaskName small = site.Start(source, "small", 8);
  site.Start(source, "filler", 8);
  const size_t first_worker = site.AddWorker(13);
  site.Start(first_worker, "first", 13);
  const size_t unhealthy = site.AddWorker(8);
  cell.worker(unhealthy).fails_all = true;
  // Nothing else has room for them.
  for (int i = 0; i < 12; ++i) {
    cell.Submit(MakeJob("short" + std::to_string(i), "batch",
                        {MakeStep(4, 1, 500, 0.2)}));
    cell.Run(milliseconds(300));
  }
  for (int i = 0; i < 12; ++i)
    cell.Cancel("short" + std::to_string(i));
  site.AddWorker(9);
  cell.Cancel("filler");
  cell.Run(seconds(2));
  cell.worker(unhealthy).refuses_starts = true;
  cell.RemoveWorker(first_worker);
  const Duration away = site.LongestAway(small, seconds(15));
  INFO("worker " << cell.WorkerOf(small).value_or(99));
  CHECK(away <= seconds(2));
  CHECK(cell.observations().violations.empty());
}

TEST_CASE("a draining worker has two tasks and another one room for one",
          "[sched]") {
  PartlyFullCell site;
  SimulatedCell& cell = site.cell();
  const size_t source = site.AddWorker(16);
  const TaskName a = site.Start(source, "a", 8);
  const TaskName b = site.Start(source, "b", 8);
  const size_t target = site.AddWorker(64);
  site.Start(target, "target-base", 56);
  // Keeps the cell from being full.
  site.AddWorker(128, 500);
  cell.worker(source).info.draining = true;
  cell.UpdateWorkerInfo(source);
  CHECK(site.LongestAway(a, seconds(5)) <= seconds(2));
  CHECK(site.IsRunning(a));
  CHECK(site.IsRunning(b));
  INFO(cell.WorkerOf(a).value_or(99) << " " << cell.WorkerOf(b).value_or(99));
  CHECK(cell.observations().violations.empty());
}

TEST_CASE("a task of a workspace at its cap moves", "[sched]") {
  const bool has_cap = GENERATE(false, true);
  INFO("has a cap: " << has_cap);
  PartlyFullCell site;
  SimulatedCell& cell = site.cell();
  if (has_cap) {
    WorkspacePolicy policy;
    policy.cap.cpu = MilliCores(8000);
    cell.SetWorkspace("hot", policy);
  }
  const size_t source = site.AddWorker(64);
  site.Start(source, "source-base", 48);
  JobDefinition job = MakeJob("small", "urgent", {MakeLongRunningStep(1, 8)});
  job.workspace = WorkspaceId("hot");
  cell.Submit(job);
  cell.Run(seconds(2));
  const TaskName small{JobId("small"), 0, 0, 0};
  REQUIRE(cell.WorkerOf(small) == source);
  site.Start(source, "filler", 8);
  const size_t lost = site.AddWorker(13);
  site.Start(lost, "waiting", 13);
  const size_t target = site.AddWorker(8);
  cell.Submit(MakeJob("short", "batch", {MakeStep(8, 1, 500, 600)}));
  cell.run_time_s_of = [](const TaskName& task) {
    return task.job.value() == "short" ? 600.0 : 0.8 + 0.17 * task.index;
  };
  cell.Run(seconds(2));
  REQUIRE(cell.CountRunning("short") == 8);
  cell.Cancel("filler");
  site.AddWorker(4);
  // Short work of the workspace, which its cap keeps back.
  for (int i = 0; i < 200; ++i) {
    JobDefinition hot = MakeJob("hot" + std::to_string(i), "urgent",
                                {MakeStep(4, 1, 500, 1.0)});
    hot.workspace = WorkspaceId("hot");
    cell.Submit(hot);
  }
  cell.Run(seconds(1));
  cell.RemoveWorker(lost);
  // The target lists the ends of what it had a bit later than the source.
  const TimePoint limit = cell.now() + seconds(12);
  while (cell.worker(source).running.contains(small) &&
         !cell.worker(source).running.at(small).stops_at && cell.now() < limit)
    cell.Advance();
  // With a cap it stays, since nothing would keep its part of the cap for it.
  CHECK((cell.now() < limit) == !has_cap);
  const TimePoint lists_again = cell.now() + milliseconds(900);
  while (cell.now() < lists_again) {
    cell.worker(target).next_listing = lists_again;
    cell.Advance();
  }
  const Duration away = site.LongestAway(small, seconds(25));
  INFO("on the target: " << (cell.WorkerOf(small) == target) << ", starts "
                         << cell.observations().starts.at(small));
  CHECK(away <= seconds(2));
  CHECK(cell.observations().violations.empty());
}

TEST_CASE("the owner is replaced while one of two tasks of a service moves",
          "[sched]") {
  const int stop_ms = GENERATE(500, 900);
  const int replaced_ms = GENERATE(-1, 10, 100, 200, 300, 450);
  INFO("a stop takes " << stop_ms << " ms, replaced after " << replaced_ms);
  PartlyFullCell site;
  SimulatedCell& cell = site.cell();
  cell.stop_delay = milliseconds(stop_ms);
  const size_t first = site.AddWorker(64);
  site.Start(first, "first-base", 48);
  StepSpec pair = MakeLongRunningStep(2, 8);
  pair.max_per_worker = 1;
  pair.max_unavailable = 1;
  cell.Submit(MakeJob("pair", "urgent", {pair}));
  cell.Run(seconds(2));
  const size_t second = site.AddWorker(64);
  cell.Run(seconds(4));
  REQUIRE(cell.CountRunning("pair") == 2);
  site.Start(second, "second-base", 48);
  std::vector<size_t> lost;
  for (int i = 0; i < 2; ++i) {
    lost.push_back(site.AddWorker(13));
    site.Start(lost.back(), "waiting" + std::to_string(i), 13, "urgent", 50000);
  }
  site.AddWorker(8, 40000);
  site.AddWorker(8, 40000);
  for (const size_t worker : lost)
    cell.RemoveWorker(worker);
  const auto is_stopping = [&] {
    for (const size_t worker : {first, second}) {
      for (const auto& [task, run] : cell.worker(worker).running) {
        if (task.job.value() == "pair" && run.stops_at)
          return true;
      }
    }
    return false;
  };
  const TimePoint limit = cell.now() + seconds(15);
  while (!is_stopping() && cell.now() < limit)
    cell.Advance();
  REQUIRE(is_stopping());
  if (replaced_ms >= 0) {
    cell.Run(milliseconds(replaced_ms));
    cell.ReplaceOwner();
  }
  const TimePoint begin = cell.now();
  Duration both_away(0);
  bool both_stopped = false;
  while (cell.now() < begin + seconds(15)) {
    cell.Advance();
    size_t at_work = 0;
    for (size_t i = 0; i < cell.worker_count(); ++i) {
      for (const auto& [task, run] : cell.worker(i).running)
        at_work +=
            cell.worker(i).up && task.job.value() == "pair" && !run.stops_at
                ? 1
                : 0;
    }
    both_stopped = both_stopped || at_work == 0;
    if (cell.CountRunning("pair") == 0)
      both_away += kTimeStep;
  }
  INFO("ms with both away: " << both_away / milliseconds(1));
  CHECK_FALSE(both_stopped);
  CHECK(both_away == Duration(0));
  CHECK(cell.observations().violations.empty());
}

TEST_CASE("a run that moves takes long to stop", "[sched]") {
  PartlyFullCell site;
  SimulatedCell& cell = site.cell();
  const int stop_ms = GENERATE(500, 2500);
  INFO("a stop takes " << stop_ms << " ms");
  cell.stop_delay = milliseconds(stop_ms);
  std::vector<TaskName> small;
  for (int i = 0; i < 3; ++i) {
    const std::string number = std::to_string(i);
    const size_t source = site.AddWorker(64);
    site.Start(source, "base" + number, 48);
    small.push_back(site.Start(source, "small" + number, 8));
    // No other room for the next ones.
    site.Start(source, "filler" + number, 8);
  }
  const size_t lost = site.AddWorker(13);
  const TaskName waiting = site.Start(lost, "waiting", 13);
  for (int i = 0; i < 3; ++i)
    cell.Cancel("filler" + std::to_string(i));
  cell.Run(seconds(4));
  for (int i = 0; i < 3; ++i)
    site.AddWorker(8);
  cell.RemoveWorker(lost);
  cell.Run(seconds(25));
  CHECK(site.IsRunning(waiting));
  int moves = 0;
  for (const TaskName& task : small)
    moves += cell.observations().starts.at(task) - 1;
  CHECK(moves == 1);
  CHECK(cell.observations().violations.empty());
}

TEST_CASE("nothing is held once all jobs have ended", "[sched]") {
  const uint32_t seed = GENERATE(range(1U, 301U));
  INFO("seed " << seed);
  std::mt19937 random(seed);
  PartlyFullCell site;
  SimulatedCell& cell = site.cell();
  cell.AddWorkers(16, 64, 250000);
  cell.Run(seconds(1));
  std::vector<std::string> jobs;
  const auto submit = [&] {
    jobs.push_back("service" + std::to_string(jobs.size()));
    StepSpec step =
        MakeLongRunningStep(5, 9 + static_cast<int64_t>(random() % 11));
    cell.Submit(MakeJob(jobs.back(), "urgent", {step}));
    cell.Run(milliseconds(700));
  };
  for (int i = 0; i < 16; ++i)
    submit();
  cell.Run(seconds(4));
  for (int i = 0; i < 20; ++i) {
    const size_t worker = random() % cell.worker_count();
    switch (random() % 5) {
      case 0:
        cell.RemoveWorker(worker);
        cell.AddWorkers(1, 56, 250000, 100 + static_cast<size_t>(i));
        break;
      case 1:
        cell.RestartWorker(worker);
        break;
      case 2:
        cell.Cancel(jobs[random() % jobs.size()]);
        submit();
        break;
      case 3:
        cell.worker(worker).info.draining = !cell.worker(worker).info.draining;
        cell.UpdateWorkerInfo(worker);
        break;
      default:
        cell.CrashWorker(worker);
    }
    cell.Run(milliseconds(static_cast<int>(random() % 2500)));
  }
  const uint64_t moves = cell.scheduler().counters().relocated_tasks;
  for (const std::string& job : jobs)
    cell.Cancel(job);
  cell.Run(seconds(20));
  const CellLoad load = cell.scheduler().Load(cell.now());
  INFO("moves " << moves);
  for (const auto& service : load.services) {
    CHECK(!service.free_pieces.empty());
    for (const Resources& piece : service.free_pieces)
      CHECK((piece.cpu == MilliCores(64000) || piece.cpu == MilliCores(56000)));
  }
  CHECK(cell.observations().violations.empty());
}

}  // namespace
}  // namespace cowslipmast::sched
