#include "src/sched/unplaced_steps.h"

#include <algorithm>

#include "src/sched/health.h"
#include "src/sched/jobs.h"
#include "src/sched/order.h"
#include "src/sched/worker_score.h"

namespace cowslipmast::sched {

namespace {

bool AreAllOnLastAttempt(const State& state, const ReadyKey& key) {
  const StepState& step = key.iteration->steps[key.step];
  const Job& job = *key.iteration->job;
  return std::all_of(
      step.ready_tasks.begin(), step.ready_tasks.end(), [&](uint32_t index) {
        return IsLastAttempt(PolicyOf(state, job), job.spec.steps[key.step],
                             step.tasks[index]);
      });
}

}  // namespace

UnplacedSteps::Requirements UnplacedSteps::RequirementsOf(const State& state,
                                                          const ReadyKey& key,
                                                          TimePoint now) {
  const StepState& step = key.iteration->steps[key.step];
  const StepSpec& spec = key.iteration->job->spec.steps[key.step];
  const bool overdue =
      !step.ready_tasks.empty() &&
      IsOverdue(spec, step.tasks[step.ready_tasks.back()], now);
  return Requirements{
      .service = PolicyOf(state, *key.iteration->job).service,
      .need = spec.need,
      .image = spec.best_effort ? step.image : 0,
      .best_effort = spec.best_effort,
      .restricted =
          spec.gang || spec.max_per_worker != 0 || !spec.label.empty(),
      .overdue = overdue,
      .last_attempt = AreAllOnLastAttempt(state, key),
      .leaves_reserve = spec.long_running && !spec.best_effort && !overdue,
      .opportunistic =
          step.ready_tasks.empty()
              ? OpportunisticLimits{}
              : OpportunisticLimitsInOrder(
                    state,
                    TaskRef{key.iteration, key.step, step.ready_tasks.back()},
                    now)};
}

void UnplacedSteps::Add(const State& state,
                        const ReadyKey& key,
                        TimePoint now) {
  m_requirements.push_back(RequirementsOf(state, key, now));
}

bool UnplacedSteps::RulesOut(const State& state,
                             const ReadyKey& key,
                             TimePoint now) const {
  const Requirements required = RequirementsOf(state, key, now);
  return std::any_of(
      m_requirements.begin(), m_requirements.end(),
      [&required](const Requirements& unplaced) {
        return !unplaced.restricted &&
               (unplaced.overdue || !required.overdue) &&
               (!unplaced.last_attempt || required.last_attempt) &&
               (!unplaced.leaves_reserve || required.leaves_reserve) &&
               unplaced.service == required.service &&
               unplaced.best_effort == required.best_effort &&
               unplaced.image == required.image &&
               unplaced.opportunistic == required.opportunistic &&
               Fits(unplaced.need, required.need);
      });
}

}  // namespace cowslipmast::sched
