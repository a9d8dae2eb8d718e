#include "src/sched/jobs_without_run.h"

#include <algorithm>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "src/sched/crash_suspects.h"
#include "src/sched/jobs.h"
#include "src/sched/task_placement.h"
#include "src/sched/unplaced_steps.h"
#include "src/sched/worker_score.h"
#include "src/sched/workspace_caps.h"

namespace cowslipmast::sched {

namespace {

// Steps that find no worker in one plan before it goes on with those that
// earlier plans left out, and of these before the rest is left out, each at the
// cost of a look at all workers.
constexpr size_t kMaxUnplaced = 24;

// The task of the step that has waited longest, of those that may start.
std::optional<TaskRef> FindNextTask(const State& state, const ReadyKey& key) {
  const std::vector<uint32_t>& ready =
      key.iteration->steps[key.step].ready_tasks;
  const auto found =
      std::find_if(ready.rbegin(), ready.rend(), [&](uint32_t index) {
        const TaskRef ref{key.iteration, key.step, index};
        return ReadTask(ref).phase == SchedulingPhase::kReady &&
               !IsHeldBack(state, ref);
      });
  if (found == ready.rend())
    return std::nullopt;
  return TaskRef{key.iteration, key.step, *found};
}

// The next task of the step, if its job has waited for too long.
std::optional<TaskRef> FindTaskToStart(const State& state,
                                       const ReadyKey& key,
                                       TimePoint now) {
  const StepSpec& spec = key.iteration->job->spec.steps[key.step];
  if (!spec.best_effort || spec.long_running || spec.gang ||
      key.iteration->job->ended_at)
    return std::nullopt;
  const auto ref = FindNextTask(state, key);
  if (!ref || !HasWaitedWithoutRun(*ref, now) ||
      CheckCap(state, *ref) != CapVerdict::kAllowed)
    return std::nullopt;
  return ref;
}

std::vector<StepWithoutRun> FindJobsWithoutRun(const State& state,
                                               TimePoint now) {
  std::vector<StepWithoutRun> waiting;
  for (const ReadyKey& key : state.ready_steps) {
    const Job& job = *key.iteration->job;
    if (const auto ref = FindTaskToStart(state, key, now))
      waiting.push_back(
          {.since = std::max(ReadTask(*ref).ready_since, job.last_start),
           .has_started = job.has_started,
           .arrived = job.arrived,
           .key = key});
  }
  std::sort(waiting.begin(), waiting.end());
  return waiting;
}

}  // namespace

void StartJobsWithoutRun(State& state, TimePoint now, Plan& plan) {
  UnplacedSteps unplaced;
  size_t unplaced_count = 0;
  std::set<ServiceId> under_load;  // that have had their start
  const std::vector<StepWithoutRun> waiting = FindJobsWithoutRun(state, now);
  const auto resume_at = std::exchange(state.resume_without_run_at, {});
  bool has_resumed = false;
  for (auto next = waiting.begin(); next != waiting.end(); ++next) {
    if (unplaced_count >= kMaxUnplaced) {
      if (std::exchange(has_resumed, true)) {
        state.resume_without_run_at = *next;
        return;
      }
      unplaced_count = 0;
      if (resume_at)
        next = std::lower_bound(next, waiting.end(), *resume_at);
      if (next == waiting.end())
        return;
    }
    const ReadyKey& key = next->key;
    const ServiceId& service = PolicyOf(state, *key.iteration->job).service;
    // Another step of the job may have been started.
    const auto ref = FindTaskToStart(state, key, now);
    if (!ref || under_load.contains(service))
      continue;
    if (OpportunisticLimitsOf(state, *ref, now).max_tasks == 0) {
      under_load.insert(service);
      continue;
    }
    if (unplaced.RulesOut(state, key, now))
      continue;
    const int32_t worker = FindWorkerOrOpportunity(state, *ref, now);
    if (worker != kNoWorker) {
      std::erase(StepOf(*ref).ready_tasks, ref->index);
      PlanStart(state, *ref, worker, now, plan);
      if (StepOf(*ref).ready_tasks.empty())
        state.ready_steps.erase(key);
      continue;
    }
    unplaced.Add(state, *ref, now);
    ++unplaced_count;
  }
}

}  // namespace cowslipmast::sched
