#include "src/sched/assignment.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include "src/sched/jobs.h"
#include "src/sched/silent_ends.h"
#include "src/sched/workspace_caps.h"

namespace cowslipmast::sched {

namespace {

// Last time that the worker is known to have had the run.
TimePoint LastSignOfLife(const State& state, const Task& task) {
  const WorkerState& worker = state.workers[static_cast<size_t>(task.worker)];
  const bool was_heard =
      worker.instance && MayBeSameInstance(worker.instance->start_time_ms,
                                           task.worker_start_time_ms);
  // A worker that has not answered this owner had its lease from an earlier
  // one.
  const TimePoint heard =
      was_heard ? worker.instance->clock_received_at
                : std::min(state.claimed_at,
                           worker.lease_expiry - state.options.lease);
  return std::max(heard, task.started.value_or(heard));
}

// Time for which a long-running task whose run is lost has had none. The waits
// of other tasks count from when their loss is known.
Duration TimeWithoutRun(const State& state, const TaskRef& ref, TimePoint now) {
  const Task& task = ReadTask(ref);
  if (!SpecOf(ref).long_running || task.worker == kNoWorker)
    return Duration(0);
  const bool is_unconfirmed = task.phase == SchedulingPhase::kPlanned ||
                              task.phase == SchedulingPhase::kUncertain;
  const TimePoint since =
      is_unconfirmed ? task.ready_since : LastSignOfLife(state, task);
  return std::max(Duration(0), now - since);
}

}  // namespace

bool IsDisplaceable(const TaskRef& ref) {
  const StepSpec& spec = SpecOf(ref);
  return !spec.long_running && !spec.gang && !ReadTask(ref).was_displaced;
}

Resources ReservedBy(const StepSpec& spec) {
  Resources reserved = spec.need;
  if (spec.best_effort)
    reserved.cpu = MilliCores(0);
  return reserved;
}

void AssignToWorker(State& state, const TaskRef& ref, int32_t worker) {
  WorkerState& worker_state = state.workers[static_cast<size_t>(worker)];
  const StepSpec& spec = SpecOf(ref);
  TaskOf(ref).worker = worker;
  TaskOf(ref).has_just_moved = false;
  TaskOf(ref).worker_start_time_ms =
      worker_state.instance ? worker_state.instance->start_time_ms : 0;
  worker_state.tasks.push_back(ref);
  if (TaskOf(ref).crashes.total > 0)
    ++worker_state.suspects;
  worker_state.reserved += ReservedBy(spec);
  if (IsDisplaceable(ref))
    worker_state.displaceable += ReservedBy(spec);
  AddToWorkspace(state, ref);
  if (spec.best_effort)
    worker_state.best_effort_cpu += spec.need.cpu;
  else if (spec.long_running)
    worker_state.long_running_cpu += spec.need.cpu;
  ++ref.iteration->job->placed_tasks;
}

void UnassignTask(State& state, const TaskRef& ref) {
  Task& task = TaskOf(ref);
  if (task.worker == kNoWorker)
    return;
  WorkerState& worker_state = state.workers[static_cast<size_t>(task.worker)];
  const StepSpec& spec = SpecOf(ref);
  std::erase(worker_state.tasks, ref);
  if (task.crashes.total > 0)
    --worker_state.suspects;
  worker_state.reserved -= ReservedBy(spec);
  if (IsDisplaceable(ref))
    worker_state.displaceable -= ReservedBy(spec);
  RemoveFromWorkspace(state, ref);
  if (spec.best_effort)
    worker_state.best_effort_cpu -= spec.need.cpu;
  else if (spec.long_running)
    worker_state.long_running_cpu -= spec.need.cpu;
  // A probe may end without showing whether the worker is healthy, for example
  // if it is cancelled; the worker then gets another one.
  worker_state.health.probe_priority.reset();
  --ref.iteration->job->placed_tasks;
  if (task.phase == SchedulingPhase::kStopping)
    state.stopping_tasks.erase(NameOf(ref));
  task.worker = kNoWorker;
  task.worker_start_time_ms = 0;
  task.started.reset();
  task.is_confirmed = false;
  task.is_silent_since_start = false;
  task.visible_from.reset();
  task.stop_sent.reset();
  task.last_progress.reset();
  task.longest_percent.reset();
  task.load.reset();
  task.progress_percent = 0;
  task.pace_percent = 100;
  task.target_pace_percent = 100;
  task.slowest_pace_percent = 100;
  task.is_opportunistic = false;
  task.own_utilisation = kInitialOwnUtilisation;
  task.utilisation_listing = 0;
  state.needs_plan = true;
}

void SetCrashes(State& state, const TaskRef& ref, const CrashCount& crashes) {
  Task& task = TaskOf(ref);
  if (task.worker != kNoWorker) {
    WorkerState& worker = state.workers[static_cast<size_t>(task.worker)];
    worker.suspects -= task.crashes.total > 0 ? 1 : 0;
    worker.suspects += crashes.total > 0 ? 1 : 0;
  }
  task.crashes = crashes;
}

void StopTask(State& state, const TaskRef& ref) {
  Task& task = TaskOf(ref);
  if (task.worker == kNoWorker || task.phase == SchedulingPhase::kStopping)
    return;
  task.phase = SchedulingPhase::kStopping;
  // A run that is being stopped may end before its instance does.
  EndSilence(state, ref);
  state.stopping_tasks.emplace(NameOf(ref), ref);
  task.visible_from.reset();
  task.stop_sent.reset();
  state.needs_plan = true;
}

void RequeueTask(State& state,
                 const TaskRef& ref,
                 TimePoint now,
                 Duration waited) {
  UnassignTask(state, ref);
  Task& task = TaskOf(ref);
  MarkDirty(state, *ref.iteration);
  if (ref.iteration->job->ended_at) {
    task.phase = SchedulingPhase::kBlocked;
    return;
  }
  task.phase = SchedulingPhase::kBlocked;
  MakeReady(state, ref, now, waited);
}

void RequeueUnstartedTask(State& state, const TaskRef& ref, TimePoint now) {
  RequeueTask(state, ref, now, now - TaskOf(ref).ready_since);
}

void RequeueLostTask(State& state,
                     const TaskRef& ref,
                     std::string_view reason,
                     TimePoint now) {
  ++state.counters.lost;
  const Duration without_run = TimeWithoutRun(state, ref, now);
  LogDecision(state, "run_lost", ref,
              std::string(reason) + " ms_without_run=" +
                  std::to_string(without_run / std::chrono::milliseconds(1)));
  Task& task = TaskOf(ref);
  task.has_run |= task.phase == SchedulingPhase::kRunning ||
                  task.phase == SchedulingPhase::kStopping;
  RequeueTask(state, ref, now, without_run);
}

void RequeueAllTasks(State& state,
                     int32_t worker,
                     std::string_view reason,
                     TimePoint now) {
  const std::vector<TaskRef> tasks =
      state.workers[static_cast<size_t>(worker)].tasks;
  for (const TaskRef& ref : tasks)
    RequeueLostTask(state, ref, reason, now);
}

}  // namespace cowslipmast::sched
