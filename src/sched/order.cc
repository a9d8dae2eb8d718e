#include "src/sched/order.h"

#include <algorithm>
#include <limits>
#include <vector>

#include "src/sched/jobs.h"
#include "src/sched/overload_order.h"

namespace cowslipmast::sched {

namespace {

// Reverses the order of arrival.
constexpr uint64_t kNewestFirst = std::numeric_limits<uint64_t>::max();

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

// Number of steps on the longest chain from step `first` to the end.
uint32_t ChainLength(const JobDefinition& spec, uint32_t first) {
  std::vector<uint32_t> length(spec.steps.size(), 0);
  uint32_t longest = 0;
  for (uint32_t i = first; i < spec.steps.size(); ++i) {
    length[i] = 1;
    for (uint32_t earlier : spec.steps[i].depends_on) {
      if (earlier >= first && earlier < i)
        length[i] = std::max(length[i], length[earlier] + 1);
    }
    longest = std::max(longest, length[i]);
  }
  return longest;
}

bool IsStarted(const Iteration& iteration) {
  return iteration.job->placed_tasks > 0 ||
         iteration.unfinished_steps < iteration.steps.size();
}

// Rank of a step of short work by what the job can still reach.
void RankUnderOverload(const State& state, TimePoint now, ReadyKey& key) {
  const Iteration& iteration = *key.iteration;
  const JobDefinition& spec = iteration.job->spec;
  const StepOutlook outlook{
      .remaining_path = CriticalPath(spec, key.step),
      .remaining_steps = ChainLength(spec, key.step),
      .until_objective = ObjectiveOf(state, iteration) - now,
      .is_started = IsStarted(iteration)};
  if (iteration.has_turn) {
    key.rank = static_cast<uint32_t>(ReadyRank::kOverdue);
    return;
  }
  switch (ClassifyStep(outlook)) {
    case OverloadClass::kStarted:
      key.rank = static_cast<uint32_t>(ReadyRank::kStarted);
      key.latest_start = now + Laxity(outlook);
      return;
    case OverloadClass::kOnTime:
      key.rank = static_cast<uint32_t>(ReadyRank::kOnTime);
      key.sequence = kNewestFirst - key.sequence;
      return;
    case OverloadClass::kLate:
      key.rank = static_cast<uint32_t>(ReadyRank::kLate);
      return;
  }
}

// Rank of a long-running step. Short work soon releases its worker.
ReadyRank LongRunningRank(const StepSpec& spec,
                          const StepState& waiting,
                          TimePoint now) {
  const bool is_overdue =
      !waiting.ready_tasks.empty() &&
      IsOverdue(spec, waiting.tasks[waiting.ready_tasks.back()], now);
  return is_overdue ? ReadyRank::kOverdue : ReadyRank::kLongRunning;
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
  ReadyKey key{.priority = PolicyOf(state, *iteration.job).priority,
               .rank = static_cast<uint32_t>(ReadyRank::kOnTime),
               .latest_start = TimePoint(),
               .sequence = iteration.job->sequence,
               .iteration_number = iteration.number,
               .step = step,
               .iteration = &iteration};
  if (step_spec.long_running) {
    key.rank = static_cast<uint32_t>(
        LongRunningRank(step_spec, iteration.steps[step], now));
  } else if (state.options.features.overload_order) {
    RankUnderOverload(state, now, key);
  } else if (now + CriticalPath(spec, step) > ObjectiveOf(state, iteration)) {
    key.rank = static_cast<uint32_t>(ReadyRank::kLate);
  }
  return key;
}

bool HasLostWorker(const Task& task) {
  return task.run > RunNumber();
}

bool IsOverdue(const StepSpec& spec, const Task& task, TimePoint now) {
  return spec.long_running && task.phase == SchedulingPhase::kReady &&
         now - task.ready_since >= kLongRunningOverdueAfter;
}

}  // namespace cowslipmast::sched
