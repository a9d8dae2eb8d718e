#include "src/sched/step_name.h"

namespace cowslipmast::sched {

StepName NameOfStep(const ReadyKey& key) {
  return {key.iteration->job->spec.id, key.iteration_number, key.step};
}

StepName NameOfStep(const TaskRef& ref) {
  return {ref.iteration->job->spec.id, ref.iteration->number, ref.step};
}

std::optional<TaskRef> FindWaitingTask(const State& state,
                                       const StepName& step) {
  const auto job = state.jobs.find(step.job);
  if (job == state.jobs.end() || job->second->ended_at)
    return std::nullopt;
  const auto iteration = job->second->iterations.find(step.iteration);
  if (iteration == job->second->iterations.end())
    return std::nullopt;
  const StepState& waiting = iteration->second->steps[step.step];
  if (waiting.ready_tasks.empty())
    return std::nullopt;
  return TaskRef{iteration->second.get(), step.step,
                 waiting.ready_tasks.back()};
}

std::string ToString(const StepName& step) {
  return step.job.value() + "/" + std::to_string(step.iteration) + "/" +
         std::to_string(step.step);
}

}  // namespace cowslipmast::sched
