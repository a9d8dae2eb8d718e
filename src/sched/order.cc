#include "src/sched/order.h"

#include <algorithm>
#include <limits>
#include <utility>
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
    key.latest_start = iteration.due;
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

// Rank of a long-running step: that of the task that is placed next. Short work
// soon releases its worker.
void RankLongRunning(const StepSpec& spec,
                     const StepState& waiting,
                     TimePoint now,
                     ReadyKey& key) {
  key.rank = static_cast<uint32_t>(ReadyRank::kLongRunning);
  if (waiting.ready_tasks.empty())
    return;
  const Task& next = waiting.tasks[waiting.ready_tasks.back()];
  if (!IsOverdue(spec, next, now))
    return;
  key.rank = static_cast<uint32_t>(
      IsLost(spec, next, now) ? ReadyRank::kLost : ReadyRank::kOverdue);
  key.latest_start = next.ready_since;
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
    RankLongRunning(step_spec, std::as_const(iteration.steps[step]), now, key);
  } else if (state.options.features.overload_order) {
    RankUnderOverload(state, now, key);
  } else if (now + CriticalPath(spec, step) > ObjectiveOf(state, iteration)) {
    key.rank = static_cast<uint32_t>(ReadyRank::kLate);
  }
  return key;
}

bool IsLost(const StepSpec& spec, const Task& task, TimePoint now) {
  return task.has_run && IsOverdue(spec, task, now);
}

void OrderReadyTasks(const StepSpec& spec, StepState& step, TimePoint now) {
  if (!spec.long_running || step.ready_tasks.size() < 2)
    return;
  const TaskList& tasks = step.tasks;
  // The last one is placed first.
  const auto is_placed_later = [&](uint32_t a, uint32_t b) {
    const bool is_lost = IsLost(spec, tasks[a], now);
    if (is_lost != IsLost(spec, tasks[b], now))
      return !is_lost;
    return tasks[a].ready_since > tasks[b].ready_since;
  };
  if (!std::is_sorted(step.ready_tasks.begin(), step.ready_tasks.end(),
                      is_placed_later))
    std::stable_sort(step.ready_tasks.begin(), step.ready_tasks.end(),
                     is_placed_later);
}

bool IsWaitKnown(const Task& task) {
  return task.ready_since != TimePoint();
}

bool IsOverdue(const StepSpec& spec, const Task& task, TimePoint now) {
  return spec.long_running && task.phase == SchedulingPhase::kReady &&
         now - task.ready_since >= kLongRunningOverdueAfter;
}

}  // namespace cowslipmast::sched
