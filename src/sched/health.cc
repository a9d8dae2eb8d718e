#include "src/sched/health.h"

#include <algorithm>

namespace cowslipmast::sched {

namespace {

// On a healthy worker 0.5% to 5% of the runs fail, so that a streak of two has
// a probability of 0.25% at most.
constexpr uint32_t kFailureStreakToAvoid = 2;
// Such faults of a worker last for 5 to 7 s.
constexpr Duration kAvoidDuration = std::chrono::seconds(4);

}  // namespace

void RecordRunOutcome(State& state,
                      int32_t worker,
                      RunOutcome outcome,
                      TimePoint now) {
  WorkerHealth& health = state.workers[static_cast<size_t>(worker)].health;
  if (outcome == RunOutcome::kDone) {
    health = WorkerHealth{};
    return;
  }
  if (outcome != RunOutcome::kFailed)
    return;
  ++health.failure_streak;
  health.last_failure = now;
  health.probe_priority.reset();
  if (health.failure_streak >= kFailureStreakToAvoid)
    health.avoid_until = now + kAvoidDuration;
}

bool IsLastAttempt(const QueuePolicy& policy,
                   const StepSpec& spec,
                   const Task& task) {
  return !spec.long_running && task.failures > 0 &&
         task.failures + 1 >= policy.max_attempts;
}

bool IsTrusted(const WorkerState& worker, bool last_attempt, TimePoint now) {
  const WorkerHealth& health = worker.health;
  if (last_attempt && health.failure_streak > 0 &&
      now < health.last_failure + kAvoidDuration)
    return false;
  if (!health.avoid_until)
    return true;
  return now >= *health.avoid_until && !health.probe_priority;
}

}  // namespace cowslipmast::sched
