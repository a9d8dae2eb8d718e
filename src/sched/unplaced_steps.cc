#include "src/sched/unplaced_steps.h"

#include <algorithm>

#include "src/sched/health.h"
#include "src/sched/jobs.h"
#include "src/sched/kept_capacity.h"
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
                                                          const TaskRef& ref,
                                                          bool last_attempt,
                                                          TimePoint now) {
  const StepSpec& spec = SpecOf(ref);
  const QueuePolicy& policy = PolicyOf(state, *ref.iteration->job);
  const bool overdue = IsOverdue(spec, ReadTask(ref), now);
  return Requirements{
      .service = policy.service,
      .priority = policy.priority,
      .need = spec.need,
      .image = spec.best_effort ? StepOf(ref).image : 0,
      .best_effort = spec.best_effort,
      .restricted =
          spec.gang || spec.max_per_worker != 0 || !spec.label.empty(),
      .overdue = overdue,
      .last_attempt = last_attempt,
      .leaves_reserve = spec.long_running && !spec.best_effort && !overdue,
      .is_new_long_running = IsNewLongRunning(ref),
      .opportunistic = OpportunisticLimitsInOrder(state, ref, now)};
}

void UnplacedSteps::Add(const State& state, const TaskRef& ref, TimePoint now) {
  const bool last_attempt = IsLastAttempt(PolicyOf(state, *ref.iteration->job),
                                          SpecOf(ref), ReadTask(ref));
  m_requirements.push_back(RequirementsOf(state, ref, last_attempt, now));
}

bool UnplacedSteps::RulesOut(const State& state,
                             const ReadyKey& key,
                             TimePoint now) const {
  const StepState& step = key.iteration->steps[key.step];
  if (step.ready_tasks.empty())
    return false;
  const TaskRef next{key.iteration, key.step, step.ready_tasks.back()};
  const Requirements required =
      RequirementsOf(state, next, AreAllOnLastAttempt(state, key), now);
  return std::any_of(
      m_requirements.begin(), m_requirements.end(),
      [&required](const Requirements& unplaced) {
        return !unplaced.restricted &&
               (unplaced.overdue || !required.overdue) &&
               (!unplaced.last_attempt || required.last_attempt) &&
               (!unplaced.leaves_reserve || required.leaves_reserve) &&
               (!unplaced.is_new_long_running ||
                required.is_new_long_running) &&
               unplaced.service == required.service &&
               unplaced.priority <= required.priority &&
               unplaced.best_effort == required.best_effort &&
               unplaced.image == required.image &&
               unplaced.opportunistic == required.opportunistic &&
               Fits(unplaced.need, required.need);
      });
}

}  // namespace cowslipmast::sched
