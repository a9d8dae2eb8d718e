// Guards against a task that crashes worker after worker because the proofs
// come late: its workers are off the platform's list, and other ones at their
// addresses answer only after the leases have expired.

#include <catch2/catch.hpp>

#include <map>

#include "tests/sched/crash_log.h"

namespace cowslipmast::sched {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kListedWithoutSign = milliseconds(4500);
const TaskName kDeadly{JobId("deadly"), 0, 0, 0};

// Workers never come back themselves. The platform removes them, and another
// worker answers at the address as long as that is asked.
void RunWithSuccessors(SimulatedCell& cell, Duration back_after) {
  std::map<size_t, TimePoint> down_since;
  for (int i = 0; i < 12000; ++i) {
    cell.Run(kTimeStep);
    for (size_t w = 0; w < cell.worker_count(); ++w) {
      if (cell.worker(w).up)
        continue;
      const auto [since, is_new] = down_since.emplace(w, cell.now());
      const Duration down = cell.now() - since->second;
      const WorkerId id = cell.worker(w).info.id;
      if (down >= kListedWithoutSign && !cell.worker(w).removed)
        cell.RemoveWorker(w);
      if (down >= back_after && cell.scheduler().IsFollowed(id))
        cell.scheduler().OnWorkerDead(id, cell.now());
    }
  }
}

TEST_CASE("a deadly task is started too often as its workers are replaced late",
          "[sched]") {
  const int back_after_s = GENERATE(3, 5, 7, 9, 12);
  const bool is_long_running = GENERATE(false, true);
  INFO("back after " << back_after_s << " s, long-running " << is_long_running);
  SimulatedCell cell;
  cell.AddWorkers(24, 16, 64000);
  cell.SetQueue("urgent", MakePolicy(0, 4));
  cell.restart_delay = seconds(1000);
  cell.crashes_worker = [](const TaskName& task) { return task == kDeadly; };
  cell.Run(milliseconds(100));

  SECTION("by other workers at their addresses") {
    cell.Submit(MakeJob("deadly", "urgent",
                        {is_long_running ? MakeLongRunningStep(1, 2)
                                         : MakeStep(1, 2, 1000, 0.8)}));
    RunWithSuccessors(cell, seconds(back_after_s));
    CHECK(cell.StateOf("deadly") == JobState::kFailed);
    CHECK(cell.observations().crashes.at(kDeadly) <= kMaxCrashesOfTask);
  }
}

}  // namespace
}  // namespace cowslipmast::sched
