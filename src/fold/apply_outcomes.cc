#include <cstdint>
#include <limits>

#include "src/fold/apply.h"

namespace cowslipmast {

namespace {

constexpr uint32_t kLastIndex = std::numeric_limits<uint32_t>::max();

void ApplyFailure(TaskProgress& progress) {
  ++progress.failures;
  if (progress.failures < kMaxTaskFailures)
    return;
  progress.finished = true;
  progress.failed = true;
}

void ApplyOutcome(TaskProgress& progress, const TaskOutcome& outcome) {
  progress.index = outcome.task.index;
  progress.attempt = outcome.attempt;
  switch (outcome.result) {
    case TaskResult::kDone:
      progress.finished = true;
      return;
    case TaskResult::kFailed:
      ApplyFailure(progress);
      return;
    case TaskResult::kEvicted:
      if (!outcome.checkpoint.empty())
        progress.checkpoint = outcome.checkpoint;
      return;
    case TaskResult::kLost:
      return;
  }
}

}  // namespace

void ApplyOutcomes(DataCentreState& state, const TaskOutcomes& record) {
  for (const TaskOutcome& outcome : record.outcomes) {
    TaskProgress& progress = state.tasks[outcome.task];
    // Two successive owners may report the same attempt; it counts once.
    if (progress.finished || outcome.attempt <= progress.attempt)
      continue;
    ApplyOutcome(progress, outcome);
  }
}

void DropTasks(DataCentreState& state, const JobId& job) {
  state.tasks.erase(state.tasks.lower_bound(TaskId{job, 0}),
                    state.tasks.upper_bound(TaskId{job, kLastIndex}));
}

}  // namespace cowslipmast
