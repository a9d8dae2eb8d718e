#include "src/sched/jobs_without_run.h"

#include <algorithm>
#include <iterator>
#include <optional>
#include <set>
#include <tuple>
#include <vector>

#include "src/sched/jobs.h"
#include "src/sched/task_placement.h"
#include "src/sched/unplaced_steps.h"
#include "src/sched/worker_score.h"
#include "src/sched/workspace_caps.h"

namespace cowslipmast::sched {

namespace {

// Steps that find no worker in one plan, each at the cost of a look at all
// workers. The order of all waiting work comes to the others.
constexpr size_t kMaxUnplaced = 24;

TaskRef NextTask(const ReadyKey& key) {
  return {key.iteration, key.step,
          key.iteration->steps[key.step].ready_tasks.back()};
}

// The next task of the step, if its job has waited for too long.
std::optional<TaskRef> FindTaskToStart(const State& state,
                                       const ReadyKey& key,
                                       TimePoint now) {
  const StepSpec& spec = key.iteration->job->spec.steps[key.step];
  if (!spec.best_effort || spec.long_running || spec.gang ||
      key.iteration->job->ended_at ||
      key.iteration->steps[key.step].ready_tasks.empty())
    return std::nullopt;
  const TaskRef ref = NextTask(key);
  if (!HasWaitedWithoutRun(ref, now) ||
      CheckCap(state, ref) != CapVerdict::kAllowed)
    return std::nullopt;
  return ref;
}

// Since when the job has had no run, as far as this owner knows; of jobs that
// it has found waiting, the one that arrived first goes first.
auto WaitOf(const ReadyKey& key) {
  const Job& job = *key.iteration->job;
  return std::tuple(
      std::max(ReadTask(NextTask(key)).ready_since, job.last_start),
      job.arrived);
}

std::vector<ReadyKey> FindJobsWithoutRun(const State& state, TimePoint now) {
  std::vector<ReadyKey> waiting;
  std::copy_if(state.ready_steps.begin(), state.ready_steps.end(),
               std::back_inserter(waiting), [&](const ReadyKey& key) {
                 return FindTaskToStart(state, key, now).has_value();
               });
  std::stable_sort(waiting.begin(), waiting.end(),
                   [](const ReadyKey& a, const ReadyKey& b) {
                     return WaitOf(a) < WaitOf(b);
                   });
  return waiting;
}

}  // namespace

void StartJobsWithoutRun(State& state, TimePoint now, Plan& plan) {
  UnplacedSteps unplaced;
  size_t unplaced_count = 0;
  std::set<ServiceId> under_load;  // that have had their start
  for (const ReadyKey& key : FindJobsWithoutRun(state, now)) {
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
      StepOf(*ref).ready_tasks.pop_back();
      PlanStart(state, *ref, worker, now, plan);
      if (StepOf(*ref).ready_tasks.empty())
        state.ready_steps.erase(key);
      continue;
    }
    unplaced.Add(state, key, now);
    if (++unplaced_count >= kMaxUnplaced)
      return;
  }
}

}  // namespace cowslipmast::sched
