#include "src/sched/listing.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "src/sched/assignment.h"
#include "src/sched/crash_suspects.h"
#include "src/sched/health.h"
#include "src/sched/jobs.h"
#include "src/sched/lease.h"
#include "src/sched/pacing.h"
#include "src/sched/run_outcome.h"
#include "src/sched/workers.h"

namespace cowslipmast::sched {

namespace {

// A healthy run shows progress about every second, and listings come about once
// a second. Slowed runs need longer.
constexpr Duration kStallTimeout = std::chrono::milliseconds(2500);

// Workers list at most this many ends. Beyond that, a run that is missing may
// have ended.
constexpr size_t kMaxListedEnds = 500;

void StopUnexpectedRun(State& state,
                       WorkerState& worker,
                       const std::optional<TaskRef>& ref,
                       const ActiveRun& running) {
  // A run of a deleted job needs an unknown part of the capacity.
  worker.unexpected += ref ? ReservedBy(SpecOf(*ref)) : worker.info.capacity;
  ++state.counters.unexpected_runs;
  state.pending_stops.push_back(
      {CurrentInstance(worker), running.task, running.run});
  state.needs_plan = true;
}

void RecordProgress(Task& task, const ActiveRun& running, TimePoint now) {
  if (!task.last_progress || running.percent != task.progress_percent ||
      running.checkpoint != task.checkpoint) {
    task.last_progress = now;
    task.slowest_pace_percent = std::min(100U, task.pace_percent);
  }
  task.progress_percent = running.percent;
  task.load = running.load;
  if (!running.checkpoint.empty())
    task.checkpoint = running.checkpoint;
}

void ApplyActiveRun(State& state,
                    int32_t worker,
                    const ActiveRun& running,
                    TimePoint now) {
  WorkerState& worker_state = state.workers[static_cast<size_t>(worker)];
  const auto ref = FindTask(state, running.task);
  if (!ref || TaskOf(*ref).worker != worker ||
      TaskOf(*ref).run != running.run) {
    StopUnexpectedRun(state, worker_state, ref, running);
    return;
  }
  NoteStart(*ref->iteration->job);
  ConfirmStart(state, *ref);
  Task& task = TaskOf(*ref);
  task.last_listing = worker_state.listing_count;
  RecordProgress(task, running, now);
  if (task.phase != SchedulingPhase::kPlanned &&
      task.phase != SchedulingPhase::kUncertain)
    return;
  task.phase = SchedulingPhase::kRunning;
  task.visible_from = now;
}

// Handles a run that the worker lists neither as active nor as ended although a
// listing should show it by now.
void HandleMissingRun(State& state, const TaskRef& ref, TimePoint now) {
  Task& task = TaskOf(ref);
  if (task.phase == SchedulingPhase::kUncertain) {
    // The start command may still arrive; a stop makes the worker refuse it.
    StopTask(state, ref);
    return;
  }
  ++state.counters.lost;
  LogDecision(state, "run_lost", ref, "missing from the listing");
  RequeueTask(state, ref, now);
}

// True if the run has made no progress for longer than it needs at its pace.
bool IsStalled(const Task& task, TimePoint now) {
  return task.last_progress &&
         task.slowest_pace_percent >= kMinPaceOfProgress &&
         now - *task.last_progress >=
             kStallTimeout * 100 / task.slowest_pace_percent;
}

}  // namespace

void ApplyListing(State& state,
                  int32_t worker,
                  const WorkerListing& listing,
                  TimePoint asked,
                  TimePoint now) {
  WorkerState& worker_state = state.workers[static_cast<size_t>(worker)];
  if (worker_state.instance &&
      !MayBeSameInstance(worker_state.instance->start_time_ms,
                         listing.start_time_ms))
    HandleEndedInstance(state, worker, "worker restarted", now);
  HandleTasksOfEarlierInstance(state, worker, listing.start_time_ms, now);
  ResolveSilentEnds(state, worker, listing.start_time_ms, now);
  if (worker_state.reachability != Reachability::kReachable)
    state.needs_plan = true;
  worker_state.reachability = Reachability::kReachable;
  worker_state.is_silent = false;
  if (!worker_state.instance)
    worker_state.instance.emplace();
  InstanceState& instance = *worker_state.instance;
  if (listing.start_time_ms != 0)
    instance.start_time_ms = listing.start_time_ms;
  UpdateClock(state.options, worker_state, listing.clock, now);
  ++worker_state.listing_count;
  for (const EndedRun& ended : listing.ended) {
    if (ended.number <= instance.outcomes_applied)
      continue;
    ApplyRunOutcome(state, worker, ended, now);
    instance.outcomes_applied = ended.number;
    state.needs_plan = true;
  }
  worker_state.unexpected = Resources{};
  for (const ActiveRun& running : listing.running)
    ApplyActiveRun(state, worker, running, now);
  const bool is_complete = listing.ended.size() < kMaxListedEnds;
  const std::vector<TaskRef> tasks = worker_state.tasks;
  for (const TaskRef& ref : tasks) {
    const Task& task = TaskOf(ref);
    if (is_complete && task.worker == worker &&
        task.last_listing != worker_state.listing_count && task.visible_from &&
        *task.visible_from < asked)
      HandleMissingRun(state, ref, now);
  }
  StopStalledTasks(state, worker, now);
  ClearSurvivors(state, worker, now);
}

void RequeueTasksOfExpiredLeases(State& state, TimePoint now) {
  for (size_t i = 0; i < state.workers.size(); ++i) {
    const WorkerState& worker = state.workers[i];
    if (worker.reachability != Reachability::kReachable &&
        !worker.tasks.empty() && now >= worker.lease_expiry)
      HandleExpiredLease(state, static_cast<int32_t>(i), now);
  }
}

void StopStalledTasks(State& state, int32_t worker, TimePoint now) {
  for (const TaskRef& ref : state.workers[static_cast<size_t>(worker)].tasks) {
    Task& task = TaskOf(ref);
    const StepSpec& spec = SpecOf(ref);
    if (task.phase != SchedulingPhase::kRunning || spec.long_running ||
        spec.gang || !IsStalled(task, now))
      continue;
    LogDecision(state, "run_stalled", ref,
                "percent=" + std::to_string(task.progress_percent));
    StopTask(state, ref);
    // A stalled run says as much about its worker's health as a failed one.
    RecordRunOutcome(state, worker, RunOutcome::kFailed,
                     task.started ? now - *task.started : Duration(0), now);
  }
}

}  // namespace cowslipmast::sched
