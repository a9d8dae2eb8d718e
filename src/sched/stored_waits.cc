#include "src/sched/stored_waits.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>

#include "src/sched/order.h"

namespace cowslipmast::sched {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

// A wall clock that was set forward must not put a task before all others for
// ever.
constexpr Duration kMaxRestoredWait = std::chrono::seconds(60);

bool HasNoRun(const Task& task) {
  return task.phase != SchedulingPhase::kDone &&
         task.phase != SchedulingPhase::kBlocked && !task.is_confirmed;
}

int64_t ToWallMilliseconds(const State& state, TimePoint time) {
  const WallTime wall = state.wall_origin + time.time_since_epoch();
  return wall.time_since_epoch() / milliseconds(1);
}

TimePoint FromWallMilliseconds(const State& state, int64_t wall_ms) {
  const WallTime wall{Duration(milliseconds(wall_ms))};
  const TimePoint time(wall - state.wall_origin);
  return std::clamp(time, state.claimed_at - kMaxRestoredWait,
                    state.claimed_at);
}

}  // namespace

json EncodeWaits(const State& state, const Iteration& iteration) {
  json waits = json::array();
  for (uint32_t step = 0; step < iteration.steps.size(); ++step) {
    if (!iteration.job->spec.steps[step].long_running)
      continue;
    const TaskList& tasks = iteration.steps[step].tasks;
    tasks.VisitOwn([&](uint32_t index) {
      const Task& task = tasks[index];
      if (task.has_run && HasNoRun(task) && IsWaitKnown(task))
        waits.push_back({step, index, task.run.value(),
                         ToWallMilliseconds(state, task.ready_since)});
    });
  }
  return waits;
}

void ApplyWaits(const State& state, Iteration& iteration, const json& stored) {
  for (const json& entry : stored) {
    const auto step = entry.at(0).get<uint32_t>();
    const auto index = entry.at(1).get<uint32_t>();
    if (!HasTask(iteration, step, index))
      continue;
    Task& task = TaskOf(TaskRef{&iteration, step, index});
    // A later transfer has brought the task back here.
    if (task.run != RunNumber(entry.at(2).get<uint64_t>()))
      continue;
    task.has_run = true;
    task.ready_since = FromWallMilliseconds(state, entry.at(3).get<int64_t>());
  }
}

}  // namespace cowslipmast::sched
