#include "src/sched/order.h"

#include <algorithm>
#include <vector>

#include "src/sched/jobs.h"

namespace cowslipmast::sched {

namespace {

// Half of the 3 s after which a lasting task must have a place.
constexpr Duration kPatienceOfLasting = std::chrono::milliseconds(1500);

enum Rank : uint32_t { kOverdue = 0, kOnTime = 1, kLate = 2, kLasting = 3 };

// Longest chain of estimated run times from step `first` to the end; a step
// depends only on earlier ones.
Duration LongestChain(const JobSpec& spec, uint32_t first) {
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
  const Duration chain = LongestChain(iteration.job->spec, 0);
  const Duration stretched(static_cast<int64_t>(
      static_cast<double>(chain.count()) * policy.stretch));
  return iteration.due + stretched + policy.target_latency;
}

ReadyKey MakeReadyKey(const State& state,
                      Iteration& iteration,
                      uint32_t step,
                      TimePoint now) {
  const JobSpec& spec = iteration.job->spec;
  const StepSpec& spec_of_step = spec.steps[step];
  const Step& waiting = iteration.steps[step];
  uint32_t rank = kOnTime;
  if (spec_of_step.lasting) {
    const bool is_overdue =
        !waiting.ready.empty() &&
        IsOverdue(spec_of_step, waiting.tasks[waiting.ready.back()], now);
    rank = is_overdue ? kOverdue : kLasting;
  } else if (now + LongestChain(spec, step) > ObjectiveOf(state, iteration)) {
    rank = kLate;
  }
  return ReadyKey{.priority = PolicyOf(state, *iteration.job).priority,
                  .rank = rank,
                  .sequence = iteration.job->sequence,
                  .iteration = iteration.number,
                  .step = step,
                  .owner = &iteration};
}

bool IsOverdue(const StepSpec& spec, const Task& task, TimePoint now) {
  return spec.lasting && now - task.ready_since >= kPatienceOfLasting;
}

}  // namespace cowslipmast::sched
