#include "src/sched/health.h"

#include <algorithm>

namespace cowslipmast::sched {

namespace {

// On a healthy worker 0.5% to 5% of the runs fail, so that a streak of two has
// a probability of 0.25% at most.
constexpr uint32_t kFailureStreakToAvoid = 2;
// Such faults of a worker last for 5 to 7 s.
constexpr Duration kAvoidDuration = std::chrono::seconds(4);
// Listings come about once a second, so that one has shown a run of this age.
constexpr Duration kMinSoundRun = std::chrono::seconds(1);

// True if a run has made progress since the worker was avoided, for twice as
// long as its failed runs took at most.
bool HasOutlastedFailures(const WorkerState& worker, TimePoint now) {
  const WorkerHealth& health = worker.health;
  if (health.longest_failed_run == Duration(0))
    return false;
  const Duration sound_run =
      std::max(kMinSoundRun, 2 * health.longest_failed_run);
  return std::any_of(worker.tasks.begin(), worker.tasks.end(),
                     [&](const TaskRef& ref) {
                       const Task& task = TaskOf(ref);
                       return task.phase == SchedulingPhase::kRunning &&
                              task.started && task.progress_percent > 0 &&
                              *task.started >= *health.avoid_until &&
                              now - *task.started >= sound_run;
                     });
}

}  // namespace

void RecordRunOutcome(State& state,
                      int32_t worker,
                      RunOutcome outcome,
                      Duration run_time,
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
  health.longest_failed_run = std::max(health.longest_failed_run, run_time);
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

bool IsTrusted(const WorkerState& worker,
               uint32_t priority,
               bool last_attempt,
               TimePoint now) {
  const WorkerHealth& health = worker.health;
  if (last_attempt && health.failure_streak > 0 &&
      now < health.last_failure + kAvoidDuration)
    return false;
  if (!health.avoid_until)
    return true;
  if (now < *health.avoid_until)
    return false;
  return !health.probe_priority || priority < *health.probe_priority ||
         HasOutlastedFailures(worker, now);
}

}  // namespace cowslipmast::sched
