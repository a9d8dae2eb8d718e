// Guards against a task that crashes one worker after the other while workers
// beside it are partitioned, lapse, or are off the list, and against jobs
// beside it that fail.

#include <catch2/catch.hpp>

#include <functional>
#include <random>

#include "tests/sched/crash_log.h"

namespace cowslipmast::sched {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kJobsBeside = 10;
constexpr size_t kMaxCuts = 4;
// The platform takes workers off its list that are silent for so long.
constexpr int kStepsUntilRemoval = 35;
constexpr Duration kStep = milliseconds(100);

struct Day {
  SimulatedCell cell;
  CrashLog log;
  std::mt19937 random;
  std::vector<int> silent_steps;
  std::vector<std::pair<size_t, TimePoint>> cuts;
};

int CrashesOf(const SimulatedCell& cell, const std::string& job) {
  const auto& crashes = cell.observations().crashes;
  const auto found = crashes.find({JobId(job), 0, 0, 0});
  return found == crashes.end() ? 0 : found->second;
}

void Begin(Day& day, int workers, int deadly_jobs, bool is_long_running) {
  SimulatedCell& cell = day.cell;
  cell.crashes_worker = [](const TaskName& task) {
    return task.job.value().starts_with("deadly");
  };
  cell.SetQueue("urgent", MakePolicy(0, 4));
  cell.AddWorkers(workers, 16, 64000);
  cell.Run(milliseconds(100));
  cell.Submit(MakeJob("service", "urgent", {MakeLongRunningStep(8, 2)}));
  for (int i = 0; i < kJobsBeside; ++i)
    cell.Submit(
        MakeJob("j" + std::to_string(i), "urgent", {MakeStep(2, 2, 1000, 3)}));
  cell.Run(seconds(1));
  for (int i = 0; i < deadly_jobs; ++i)
    cell.Submit(MakeJob("deadly" + std::to_string(i), "urgent",
                        {is_long_running ? MakeLongRunningStep(1, 2)
                                         : MakeStep(1, 2, 1000, 0.8)}));
}

void UpdateList(Day& day) {
  SimulatedCell& cell = day.cell;
  day.silent_steps.resize(cell.worker_count(), 0);
  for (size_t w = 0; w < cell.worker_count(); ++w) {
    int& steps = day.silent_steps[w];
    const bool is_silent = !cell.worker(w).up || !cell.worker(w).reachable;
    if (!is_silent && steps >= kStepsUntilRemoval)
      cell.UpdateWorkerInfo(w);
    steps = is_silent ? steps + 1 : 0;
    if (steps == kStepsUntilRemoval)
      cell.RemoveFromList(w);
  }
}

// Calls `disrupt` during the first 80 of 100 s.
void Run(Day& day, const std::function<void()>& disrupt) {
  for (int i = 0; i < 1000; ++i) {
    if (i < 800)
      disrupt();
    day.cell.Run(kStep);
    UpdateList(day);
    ReadDecisions(day.cell, day.log);
  }
}

void CutAtRandom(Day& day, Duration duration) {
  SimulatedCell& cell = day.cell;
  std::erase_if(day.cuts, [&](const auto& cut) {
    if (cell.now() < cut.second)
      return false;
    cell.worker(cut.first).reachable = true;
    return true;
  });
  if (day.random() % 10 != 0 || day.cuts.size() >= kMaxCuts)
    return;
  const size_t worker = day.random() % cell.worker_count();
  cell.worker(worker).reachable = false;
  day.cuts.emplace_back(worker, cell.now() + duration);
}

void Check(const Day& day, int deadly_jobs) {
  const SimulatedCell& cell = day.cell;
  INFO(day.log.lines);
  for (int i = 0; i < deadly_jobs; ++i) {
    const std::string id = "deadly" + std::to_string(i);
    CHECK(cell.StateOf(id) == JobState::kFailed);
    CHECK(CrashesOf(cell, id) <= kMaxCrashesOfTask);
  }
  CHECK(cell.StateOf("service") == JobState::kActive);
  CHECK(cell.CountRunning("service") == 8);
  for (int i = 0; i < kJobsBeside; ++i)
    CHECK(cell.StateOf("j" + std::to_string(i)) == JobState::kCompleted);
  std::vector<std::string> violations = cell.observations().violations;
  // A run that completes behind a partition has to run again if its lease
  // expires before its worker answers.
  std::erase_if(violations, [](const std::string& violation) {
    return violation.starts_with("started after it was done");
  });
  CHECK(violations == std::vector<std::string>{});
}

TEST_CASE("a deadly task crashes too many workers, or other jobs fail",
          "[sched]") {
  const bool is_long_running = GENERATE(true, false);
  const int back_after_s = GENERATE(1, 3, 5, 7);
  const unsigned seed = GENERATE(range(0U, 3U));
  INFO("long-running " << is_long_running << ", back after " << back_after_s
                       << " s, seed " << seed);
  Day day;
  day.random.seed(seed);
  day.cell.restart_delay = seconds(back_after_s);

  SECTION("as its workers are off the list for a while") {
    Begin(day, 12, 1, is_long_running);
    Run(day, [] {});
    Check(day, 1);
  }
  SECTION("beside another one") {
    Begin(day, 3, 2, is_long_running);
    Run(day, [] {});
    Check(day, 2);
  }
  SECTION("beside partitions") {
    Begin(day, 16, 1, is_long_running);
    Run(day, [&] { CutAtRandom(day, seconds(4)); });
    Check(day, 1);
  }
  SECTION("beside lapses") {
    Begin(day, 16, 1, is_long_running);
    Run(day, [&] { CutAtRandom(day, seconds(9)); });
    Check(day, 1);
  }
}

// At random moments, on average each 6 s.
void CheckAsOwnersAreReplaced(int back_after_s) {
  const bool is_long_running = GENERATE(true, false);
  const unsigned seed = GENERATE(range(0U, 3U));
  INFO("long-running " << is_long_running << ", back after " << back_after_s
                       << " s, seed " << seed);
  Day day;
  day.random.seed(seed);
  day.cell.restart_delay = seconds(back_after_s);
  Begin(day, 12, 1, is_long_running);
  Run(day, [&] {
    if (day.random() % 60 != 0)
      return;
    ReadDecisions(day.cell, day.log);
    day.cell.ReplaceOwner();
  });
  Check(day, 1);
}

TEST_CASE("a deadly task crashes too many workers as owners are replaced",
          "[sched]") {
  CheckAsOwnersAreReplaced(GENERATE(1, 3, 5));
}

TEST_CASE(
    "a deadly task crashes too many workers that return to another owner after "
    "their leases",
    "[sched]") {
  CheckAsOwnersAreReplaced(7);
}

}  // namespace
}  // namespace cowslipmast::sched
