#include "src/sched/order.h"

#include <algorithm>
#include <vector>

#include "src/sched/jobs.h"

namespace cowslipmast::sched {

namespace {

// Half of the 3 s within which a long-running task must have a worker.
constexpr Duration kLongRunningOverdueAfter = std::chrono::milliseconds(1500);

// Order within a priority.
enum Rank : uint32_t { kOverdue = 0, kOnTime = 1, kLate = 2, kLongRunning = 3 };

// Length of the critical path by estimated run times from step `first` to the
// end; a step depends only on earlier ones.
Duration CriticalPath(const JobDefinition& spec, uint32_t first) {
  std::vector<Duration> longest(spec.steps.size(), Duration(0));
  Duration result(0);
  for (uint32_t i = first; i < spec.steps.size(); ++i) {
    Duration before(0);
    for (uint32_t earlier : spec.steps[i].depends_on) {
      if (earlier >= first && earlier < i)
        before = std::max(before, longest[earlier]);
    }
    longest[i] = before + spec.steps[i].estimate;
    result = std::max(result, longest[i]);
  }
  return result;
}

}  // namespace

TimePoint ObjectiveOf(const State& state, const Iteration& iteration) {
  const QueuePolicy& policy = PolicyOf(state, *iteration.job);
  const Duration critical_path = CriticalPath(iteration.job->spec, 0);
  const Duration scaled(
      static_cast<int64_t>(static_cast<double>(critical_path.count()) *
                           policy.critical_path_factor));
  return iteration.due + scaled + policy.objective_offset;
}

ReadyKey MakeReadyKey(const State& state,
                      Iteration& iteration,
                      uint32_t step,
                      TimePoint now) {
  const JobDefinition& spec = iteration.job->spec;
  const StepSpec& step_spec = spec.steps[step];
  const StepState& waiting = iteration.steps[step];
  uint32_t rank = kOnTime;
  if (step_spec.long_running) {
    const bool is_overdue =
        !waiting.ready_tasks.empty() &&
        IsOverdue(step_spec, waiting.tasks[waiting.ready_tasks.back()], now);
    rank = is_overdue ? kOverdue : kLongRunning;
  } else if (now + CriticalPath(spec, step) > ObjectiveOf(state, iteration)) {
    rank = kLate;
  }
  return ReadyKey{.priority = PolicyOf(state, *iteration.job).priority,
                  .rank = rank,
                  .sequence = iteration.job->sequence,
                  .iteration_number = iteration.number,
                  .step = step,
                  .iteration = &iteration};
}

bool IsOverdue(const StepSpec& spec, const Task& task, TimePoint now) {
  return spec.long_running && task.phase == SchedulingPhase::kReady &&
         now - task.ready_since >= kLongRunningOverdueAfter;
}

}  // namespace cowslipmast::sched
