#include "src/sched/waiting_tasks.h"

#include <algorithm>
#include <string>
#include <vector>

#include "src/sched/order.h"
#include "src/sched/task_placement.h"

namespace cowslipmast::sched {

namespace {

constexpr Duration kLogInterval = std::chrono::seconds(1);
// Within this time a long-running task must have a worker.
constexpr Duration kMinLoggedWait = std::chrono::seconds(3);
// Lines for one interval; the tasks that have waited longest come first.
constexpr size_t kMaxLoggedTasks = 4;

struct WaitingTask {
  TimePoint since;
  TaskRef ref;
};

// The task of the step that has waited longest.
std::optional<WaitingTask> OldestOf(const ReadyKey& key) {
  const StepState& step = key.iteration->steps[key.step];
  std::optional<WaitingTask> oldest;
  for (const uint32_t index : step.ready_tasks) {
    const Task& task = step.tasks[index];
    if (task.phase == SchedulingPhase::kReady &&
        (!oldest || task.ready_since < oldest->since))
      oldest = {task.ready_since, TaskRef{key.iteration, key.step, index}};
  }
  return oldest;
}

std::string Describe(const State& state,
                     const WaitingTask& waiting,
                     TimePoint now) {
  const PlacementConditions passed = CheckPlacement(state, waiting.ref, now);
  const auto milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(now -
                                                            waiting.since);
  return "waited_ms=" + std::to_string(milliseconds.count()) +
         " need=" + std::to_string(SpecOf(waiting.ref).need.cpu.count()) +
         " listed=" + std::to_string(passed.listed) +
         " eligible=" + std::to_string(passed.eligible) +
         " suitable=" + std::to_string(passed.suitable) +
         " with_capacity=" + std::to_string(passed.with_capacity) +
         " trusted=" + std::to_string(passed.trusted) + " waits_for_reserve=" +
         std::to_string(passed.waits_for_reserve ? 1 : 0);
}

}  // namespace

WaitingSummary SummarizeOverdueTasks(const State& state, TimePoint now) {
  WaitingSummary summary;
  for (const ReadyKey& key : state.ready_steps) {
    const StepSpec& spec = key.iteration->job->spec.steps[key.step];
    const StepState& step = key.iteration->steps[key.step];
    if (!spec.long_running)
      continue;
    for (const uint32_t index : step.ready_tasks) {
      const Task& task = step.tasks[index];
      if (task.phase != SchedulingPhase::kReady || !IsOverdue(spec, task, now))
        continue;
      ++summary.overdue_tasks;
      summary.longest_wait =
          std::max(summary.longest_wait, now - task.ready_since);
    }
  }
  return summary;
}

void LogWaitingTasks(State& state, TimePoint now) {
  if (now < state.next_waiting_log)
    return;
  state.next_waiting_log = now + kLogInterval;
  std::vector<WaitingTask> waiting;
  for (const ReadyKey& key : state.ready_steps) {
    const auto oldest = OldestOf(key);
    if (oldest && now - oldest->since >= kMinLoggedWait)
      waiting.push_back(*oldest);
  }
  // Short work waits in each queue; a long-running task must not.
  const auto is_before = [](const WaitingTask& a, const WaitingTask& b) {
    const bool a_first = SpecOf(a.ref).long_running;
    const bool b_first = SpecOf(b.ref).long_running;
    return a_first != b_first ? a_first : a.since < b.since;
  };
  const size_t count = std::min(waiting.size(), kMaxLoggedTasks);
  std::partial_sort(waiting.begin(),
                    waiting.begin() + static_cast<std::ptrdiff_t>(count),
                    waiting.end(), is_before);
  for (size_t i = 0; i < count; ++i)
    LogDecision(state, "run_waits", waiting[i].ref,
                Describe(state, waiting[i], now));
}

}  // namespace cowslipmast::sched
