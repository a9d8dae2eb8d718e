#include "src/sched/workers.h"

#include <algorithm>

#include "src/sched/assignment.h"
#include "src/sched/lease_notes.h"
#include "src/sched/pacing.h"
#include "src/sched/task_placement.h"

namespace cowslipmast::sched {

namespace {

constexpr Duration kMaxPause = std::chrono::seconds(3);
constexpr Duration kPauseCheckInterval = std::chrono::milliseconds(500);
// Tasks considered in one check, each at the cost of a look at all workers.
constexpr size_t kMaxPausedTasksConsidered = 4;

double Millicores(MilliCores cpu) {
  return static_cast<double>(cpu.count());
}

bool IsPausedForLong(const TaskRef& ref, TimePoint now) {
  const Task& task = TaskOf(ref);
  const StepSpec& spec = SpecOf(ref);
  const bool loses_nothing = spec.checkpointing || task.progress_percent == 0;
  return task.is_opportunistic && task.phase == SchedulingPhase::kRunning &&
         !spec.gang && loses_nothing &&
         task.pace_percent < kMinPaceOfProgress && task.last_progress &&
         now - *task.last_progress >= kMaxPause;
}

}  // namespace

int32_t FindWorkerIndex(const State& state, const WorkerId& id) {
  const auto found = state.worker_index.find(id);
  return found == state.worker_index.end() ? kNoWorker : found->second;
}

WorkerState* FindWorkerState(State& state, const WorkerId& id) {
  const int32_t index = FindWorkerIndex(state, id);
  return index == kNoWorker ? nullptr
                            : &state.workers[static_cast<size_t>(index)];
}

int32_t GetOrCreateWorkerIndex(State& state, const WorkerId& id) {
  const int32_t known = FindWorkerIndex(state, id);
  if (known != kNoWorker)
    return known;
  const auto index = static_cast<int32_t>(state.workers.size());
  WorkerState& worker = state.workers.emplace_back();
  worker.info.id = id;
  worker.lease_expiry = state.claimed_at + state.options.previous_owner_lease;
  state.worker_index.emplace(id, index);
  return index;
}

WorkerInstance CurrentInstance(const WorkerState& worker) {
  return {worker.info.id, worker.instance ? worker.instance->start_time_ms : 0};
}

Resources FreeCapacity(const WorkerState& worker) {
  return worker.info.capacity - worker.reserved - worker.unexpected;
}

double MillicoresForBestEffort(const WorkerState& worker) {
  double long_running_use = 0;
  for (const TaskRef& ref : worker.tasks) {
    if (SpecOf(ref).long_running && !SpecOf(ref).best_effort)
      long_running_use +=
          Millicores(SpecOf(ref).need.cpu) * TaskOf(ref).own_utilisation;
  }
  const double short_work =
      Millicores(worker.reserved.cpu) - Millicores(worker.long_running_cpu);
  return Millicores(worker.info.capacity.cpu) - short_work - long_running_use;
}

double IdleMillicores(const WorkerState& worker) {
  return MillicoresForBestEffort(worker) - Millicores(worker.best_effort_cpu) +
         OpportunisticNeed(worker);
}

bool HasIdleTimeFor(const WorkerState& worker, const StepSpec& spec) {
  return IdleMillicores(worker) >=
         Millicores(spec.need.cpu) * kMinIdleShareOfNeed;
}

double MillicoresForOpportunistic(const WorkerState& worker) {
  double use = 0;
  for (const TaskRef& ref : worker.tasks) {
    if (SpecOf(ref).best_effort && !TaskOf(ref).is_opportunistic)
      use += Millicores(SpecOf(ref).need.cpu) *
             TaskOf(ref).target_pace_percent / 100;
  }
  return MillicoresForBestEffort(worker) - use;
}

double OpportunisticNeed(const WorkerState& worker) {
  double need = 0;
  for (const TaskRef& ref : worker.tasks) {
    if (TaskOf(ref).is_opportunistic)
      need += Millicores(SpecOf(ref).need.cpu);
  }
  return need;
}

double CpuShare(const WorkerState& worker, double millicores) {
  return millicores /
         std::max(1.0, static_cast<double>(worker.info.capacity.cpu.count()));
}

WorkerEligibility EligibilityOf(const State& state,
                                const WorkerState& worker,
                                TimePoint now) {
  if (!worker.listed)
    return WorkerEligibility::kNotListed;
  if (worker.reachability != Reachability::kReachable ||
      IsLeaseNoted(state, worker.info.id))
    return WorkerEligibility::kNotReachable;
  if (worker.info.draining)
    return WorkerEligibility::kDraining;
  if (state.policy.evacuated.count(worker.info.data_centre) > 0)
    return WorkerEligibility::kEvacuated;
  if (!MayBeSameInstance(worker.info.start_time_ms,
                         CurrentInstance(worker).start_time_ms))
    return WorkerEligibility::kOtherInstance;
  if (worker.full_until && now < *worker.full_until)
    return WorkerEligibility::kFull;
  return WorkerEligibility::kEligible;
}

void StopPausedTasks(State& state, TimePoint now) {
  if (now < state.next_pause_check || state.workers.empty())
    return;
  state.next_pause_check = now + kPauseCheckInterval;
  size_t considered = 0;
  for (size_t i = 0; i < state.workers.size(); ++i) {
    state.pause_check_position =
        (state.pause_check_position + 1) % state.workers.size();
    const auto own = static_cast<int32_t>(state.pause_check_position);
    for (const TaskRef& ref : state.workers[state.pause_check_position].tasks) {
      if (!IsPausedForLong(ref, now))
        continue;
      if (++considered > kMaxPausedTasksConsidered)
        return;
      const int32_t other = FindWorkerForTask(state, ref, now);
      if (other == kNoWorker || other == own)
        continue;
      LogDecision(state, "run_moved", ref, "paused");
      StopTask(state, ref);
    }
  }
}

}  // namespace cowslipmast::sched
