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
#include "src/sched/order.h"
#include "src/sched/pacing.h"
#include "src/sched/run_outcome.h"
#include "src/sched/silent_ends.h"
#include "src/sched/workers.h"

namespace cowslipmast::sched {

namespace {

// Listings come about once a second, so that a run of up to a minute shows
// progress within this time. Longer and slowed runs need more.
constexpr Duration kStallTimeout = std::chrono::milliseconds(2500);
// A run stands still if it shows no progress for this many times as long as a
// percent has taken it before.
constexpr int kStallFactor = 3;
// With each run of a task that was stopped on a guess the next one gets twice
// as long, this many times at most.
constexpr uint32_t kMaxStallDoublings = 10;

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

// The first listing shows where a run continues, and nothing of its pace.
void RecordPace(Task& task, const ActiveRun& running, TimePoint now) {
  if (!task.longest_percent) {
    task.longest_percent = Duration(0);
    return;
  }
  if (!task.last_progress || running.percent <= task.progress_percent)
    return;
  const Duration time = (now - *task.last_progress) *
                        task.slowest_pace_percent / 100 /
                        (running.percent - task.progress_percent);
  task.longest_percent = std::max(*task.longest_percent, time);
}

void RecordProgress(Task& task, const ActiveRun& running, TimePoint now) {
  RecordPace(task, running, now);
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
  EndSilence(state, *ref);
  Task& task = TaskOf(*ref);
  task.last_listing = worker_state.listing_count;
  RecordProgress(task, running, now);
  if (task.phase != SchedulingPhase::kPlanned &&
      task.phase != SchedulingPhase::kUncertain)
    return;
  task.phase = SchedulingPhase::kRunning;
  task.visible_from = now;
}

// Without a confirmation the run may never have begun, so that the wait of a
// long-running task goes on.
Duration WaitOfMissingRun(const TaskRef& ref, TimePoint now) {
  const Task& task = ReadTask(ref);
  if (!SpecOf(ref).long_running || task.is_confirmed)
    return Duration(0);
  return IsWaitKnown(task)
             ? std::max(now - task.ready_since, kLongRunningOverdueAfter)
             : kLongRunningOverdueAfter;
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
  RequeueTask(state, ref, now, WaitOfMissingRun(ref, now));
}

bool IsPaceKnown(const Task& task) {
  return task.longest_percent && *task.longest_percent > Duration(0);
}

// Time that a percent of the run takes at full pace, as far as is known.
Duration PercentTime(const TaskRef& ref, TimePoint now) {
  const Task& task = TaskOf(ref);
  if (IsPaceKnown(task))
    return *task.longest_percent;
  // A run of an earlier owner has lasted since its job arrived at most.
  if (!task.started && task.progress_percent > 0)
    return (now - ref.iteration->job->arrived) / task.progress_percent;
  return SpecOf(ref).estimate / 100;
}

// True if the run has made no progress for longer than it needs at its pace.
bool IsStalled(const TaskRef& ref, TimePoint now) {
  const Task& task = TaskOf(ref);
  if (!task.last_progress || task.slowest_pace_percent < kMinPaceOfProgress)
    return false;
  Duration patience =
      std::max(kStallTimeout, kStallFactor * PercentTime(ref, now));
  if (!IsPaceKnown(task))
    patience *= int64_t{1} << std::min(task.stalled_runs, kMaxStallDoublings);
  return now - *task.last_progress >=
         patience * 100 / task.slowest_pace_percent;
}

// True if a run that seems to stand still says that its worker does not work:
// a run whose pace is not known may be a long one, unless all runs of the
// worker stand still.
bool IsWorkerInDoubt(const WorkerState& worker, const TaskRef& stalled) {
  const Task& task = TaskOf(stalled);
  if (IsPaceKnown(task))
    return true;
  return task.stalled_runs == 0 &&
         std::none_of(worker.tasks.begin(), worker.tasks.end(),
                      [&](const TaskRef& other) {
                        const Task& running = TaskOf(other);
                        return !SpecOf(other).long_running &&
                               running.progress_percent > 0 &&
                               running.last_progress > task.last_progress;
                      });
}

// True for a worker that this owner has asked for the first time, or is about
// to ask: its answer may show ends that no owner has noted.
bool IsYetToAnswer(const WorkerState& worker) {
  return worker.reachability == Reachability::kUnknown && worker.listed &&
         worker.unanswered_requests < kMinUnansweredRequests;
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
  worker_state.unanswered_requests = 0;
  worker_state.last_heard = now;
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
  instance.heard_lease_end = instance.latest_lease_end;
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
  // Which workers are to be asked is not known yet.
  if (!state.knows_workers)
    return;
  for (size_t i = 0; i < state.workers.size(); ++i) {
    const WorkerState& worker = state.workers[i];
    if (worker.reachability != Reachability::kReachable &&
        !IsYetToAnswer(worker) && !worker.tasks.empty() &&
        now >= worker.lease_expiry)
      HandleExpiredLease(state, static_cast<int32_t>(i), now);
  }
}

void StopStalledTasks(State& state, int32_t worker, TimePoint now) {
  for (const TaskRef& ref : state.workers[static_cast<size_t>(worker)].tasks) {
    Task& task = TaskOf(ref);
    const StepSpec& spec = SpecOf(ref);
    if (task.phase != SchedulingPhase::kRunning || spec.long_running ||
        spec.gang || !IsStalled(ref, now))
      continue;
    const bool worker_in_doubt =
        IsWorkerInDoubt(state.workers[static_cast<size_t>(worker)], ref);
    task.stalled_runs += IsPaceKnown(task) ? 0 : 1;
    LogDecision(state, "run_stalled", ref,
                "percent=" + std::to_string(task.progress_percent));
    StopTask(state, ref);
    // It then says as much about its worker's health as a failed run.
    if (worker_in_doubt)
      RecordRunOutcome(state, worker, RunOutcome::kFailed,
                       task.started ? now - *task.started : Duration(0), now);
  }
}

}  // namespace cowslipmast::sched
