#include "src/sched/work_to_move.h"

#include <functional>
#include <string>

#include "cowslipmast/sched/job_codec.h"
#include "src/sched/jobs.h"

namespace cowslipmast::sched {

namespace {

// Older loads say little about where there is capacity now.
constexpr Duration kMaxLoadAge = std::chrono::seconds(3);

MilliCores WaitingNeed(const ReadyKey& key) {
  return MilliCores(
      key.iteration->job->spec.steps[key.step].need.cpu.count() *
      static_cast<int64_t>(key.iteration->steps[key.step].ready_tasks.size()));
}

WorkKind KindOf(const StepSpec& spec) {
  if (spec.best_effort)
    return WorkKind::kBestEffort;
  return spec.long_running ? WorkKind::kLongRunning : WorkKind::kShort;
}

Duration WaitedFor(const ReadyKey& key, TimePoint now) {
  const StepState& step = key.iteration->steps[key.step];
  return now - step.tasks[step.ready_tasks.back()].ready_here_since;
}

// Differs after each move, so that work which a cell could not place does not
// choose that cell again and again.
uint64_t RandomOf(const ReadyKey& key) {
  const Job& job = *key.iteration->job;
  const StepState& step = key.iteration->steps[key.step];
  const RunNumber run = step.tasks[step.ready_tasks.back()].run;
  return std::hash<std::string>{}(job.spec.id.value() + "." +
                                  std::to_string(job.hop) + "." +
                                  std::to_string(run.value()));
}

}  // namespace

bool HasFreshLoads(const State& state, TimePoint now) {
  return !state.cell_loads.empty() && now - state.cell_loads_at < kMaxLoadAge;
}

bool IsSmallEnoughToMove(const Job& job) {
  return job.encoded_bytes <= kMaxMovedJobBytes;
}

WaitingWork DescribeWork(const State& state,
                         const ReadyKey& key,
                         TimePoint now) {
  const StepSpec& spec = key.iteration->job->spec.steps[key.step];
  return {.service = PolicyOf(state, *key.iteration->job).service,
          .kind = KindOf(spec),
          .need = WaitingNeed(key),
          .task_need = spec.need,
          .max_per_worker = spec.max_per_worker,
          .step_tasks = spec.count,
          .min_tasks = spec.gang ? spec.count : 1,
          .label = spec.label,
          .waited = WaitedFor(key, now),
          .hop = key.iteration->job->hop,
          .random = RandomOf(key)};
}

MovedTask DescribeTask(const TaskRef& ref, Duration waited) {
  const Task& task = ReadTask(ref);
  return {.step = ref.step,
          .index = ref.index,
          .run = task.run,
          .failures = task.failures,
          .checkpoint = task.checkpoint,
          .waited = waited,
          .crashes = task.crashes,
          .has_run = task.has_run};
}

}  // namespace cowslipmast::sched
