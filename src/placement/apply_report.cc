#include <algorithm>

#include "src/placement/assignments.h"
#include "src/placement/decision_steps.h"
#include "src/placement/task_lifecycle.h"

namespace cowslipmast {

namespace {

Resources ReservedSize(const PlacementPolicy& policy,
                       const WorkerLease& lease) {
  if (policy.size == SizePolicy::kDeclared)
    return lease.resources;
  return LargerOf(lease.resources, lease.usage);
}

TaskAssignment* FindAssignment(PlacementState& placement,
                               const TaskId& task,
                               Attempt attempt,
                               const VmId& worker) {
  const auto found = placement.assignments.find(task);
  if (found == placement.assignments.end() ||
      found->second.attempt != attempt || found->second.worker != worker)
    return nullptr;
  return &found->second;
}

// Takes over a task that a previous owner started, but only if it is waiting
// here. Any other task is known to run elsewhere, to have ended, or to be
// unwanted.
TaskAssignment* TakeOverTask(PlacementState& placement,
                             const PlacementView& view,
                             const TrackedWorker& worker,
                             const WorkerLease& lease) {
  const auto job = placement.jobs.find(lease.task.job);
  if (job == placement.jobs.end() || job->second.cancelled ||
      job->second.release_sent_at ||
      !job->second.waiting.contains(lease.task.index))
    return nullptr;
  if (ProgressOfTask(job->second, view.data_centre, lease.task).attempt >=
      lease.attempt)
    return nullptr;
  TaskAssignment assignment;
  assignment.task = lease.task;
  assignment.attempt = lease.attempt;
  assignment.worker = worker.id;
  assignment.phase = TaskPhase::kWaiting;
  assignment.team = job->second.spec.team;
  assignment.latency_critical = job->second.spec.latency_critical;
  assignment.declared = lease.resources;
  assignment.reserved = lease.resources;
  return &AddAssignment(placement, assignment);
}

void ApplyLease(PlacementState& placement,
                const PlacementView& view,
                TimePoint asked_at,
                const WorkerLease& lease,
                TrackedWorker& worker) {
  TaskAssignment* assignment =
      FindAssignment(placement, lease.task, lease.attempt, worker.id);
  if (!assignment && !placement.assignments.contains(lease.task))
    assignment = TakeOverTask(placement, view, worker, lease);
  if (!assignment || assignment->phase == TaskPhase::kEnding) {
    worker.unexpected[lease.task] = lease.resources;
    worker.reserved += lease.resources;
    return;
  }
  if (assignment->phase == TaskPhase::kStarting)
    ++placement.counters.starts;
  if (StepTask(*placement.charts, TaskEvent::kStarted, assignment->phase))
    assignment->confirmed_at = asked_at;
  StepLease(*placement.charts, LeaseEvent::kListed, assignment->lease);
  assignment->throttle_percent = lease.throttle_percent;
  assignment->usage = lease.usage;
  SetReserved(placement, *assignment, ReservedSize(placement.policy, lease));
}

// Handles a result of a task that this owner does not know to be running on the
// worker.
void ApplyUnexpectedResult(PlacementState& placement,
                           const TrackedJob& job,
                           const TaskOutcome& outcome,
                           TrackedWorker& worker) {
  const auto found = placement.assignments.find(outcome.task);
  if (found != placement.assignments.end()) {
    TaskAssignment& assignment = found->second;
    // The task was considered lost, but now its real result has arrived.
    if (assignment.phase == TaskPhase::kEnding &&
        assignment.worker == worker.id && assignment.attempt == outcome.attempt)
      assignment.outcome = outcome;
    else if (assignment.worker != worker.id)
      worker.to_acknowledge.emplace_back(outcome.task, outcome.attempt);
    return;
  }
  if (!job.waiting.contains(outcome.task.index) && !job.cancelled)
    return;
  TaskAssignment assignment;
  assignment.task = outcome.task;
  assignment.attempt = outcome.attempt;
  assignment.worker = worker.id;
  assignment.phase = TaskPhase::kWaiting;
  assignment.team = job.spec.team;
  EndAssignment(placement, AddAssignment(placement, assignment), outcome.result,
                outcome.checkpoint);
}

void ApplyFinished(PlacementState& placement,
                   const PlacementView& view,
                   const TaskOutcome& outcome,
                   TrackedWorker& worker) {
  const auto job = placement.jobs.find(outcome.task.job);
  if (job == placement.jobs.end()) {
    worker.to_acknowledge.emplace_back(outcome.task, outcome.attempt);
    return;
  }
  const TaskProgress progress =
      ProgressOfTask(job->second, view.data_centre, outcome.task);
  if (progress.finished || progress.attempt >= outcome.attempt) {
    worker.to_acknowledge.emplace_back(outcome.task, outcome.attempt);
    return;
  }
  TaskAssignment* assignment =
      FindAssignment(placement, outcome.task, outcome.attempt, worker.id);
  if (assignment && assignment->phase != TaskPhase::kEnding)
    EndAssignment(placement, *assignment, outcome.result, outcome.checkpoint);
  else
    ApplyUnexpectedResult(placement, job->second, outcome, worker);
}

// Handles a task that is assigned to the worker but not in its list.
void ApplyAbsence(PlacementState& placement,
                  TimePoint asked_at,
                  const TaskId& task) {
  TaskAssignment& assignment = placement.assignments.at(task);
  if (assignment.phase != TaskPhase::kStarting) {
    if (asked_at > assignment.confirmed_at)
      EndAssignment(placement, assignment, TaskResult::kLost, "");
    return;
  }
  // A start command without a reply may still arrive until it expires.
  if (assignment.lease == LeasePhase::kUncertain &&
      asked_at > assignment.start_impossible_after) {
    StepLease(*placement.charts, LeaseEvent::kRefused, assignment.lease);
    CancelAssignment(placement, task);
  }
}

std::set<TaskId> TasksOf(const WorkerReport& report) {
  std::set<TaskId> tasks;
  for (const WorkerLease& lease : report.leases)
    tasks.insert(lease.task);
  return tasks;
}

void ClearUnexpectedLeases(TrackedWorker& worker) {
  for (const auto& [task, resources] : worker.unexpected)
    worker.reserved -= resources;
  worker.unexpected.clear();
}

void MarkReachable(const PlacementView& view,
                   TimePoint asked_at,
                   const WorkerReport& report,
                   TrackedWorker& worker) {
  if (worker.unreachable || !worker.listed_at)
    worker.next_renew = view.now;
  worker.unreachable = false;
  worker.listed_at = asked_at;
  worker.list_before_start = false;
  worker.capacity = report.capacity;
  worker.stop_unexpected = true;
  for (const WorkerLease& lease : report.leases)
    worker.lease_until =
        std::max(worker.lease_until, view.now + lease.expires_in);
}

}  // namespace

void ApplyReport(PlacementState& placement,
                 const PlacementView& view,
                 TimePoint asked_at,
                 const WorkerReport& report,
                 TrackedWorker& worker) {
  if (report.max_epoch > placement.epoch) {
    placement.superseded = true;
    return;
  }
  if (report.max_epoch < placement.epoch) {
    // The worker was restarted and lost the epoch of the fence.
    worker.fenced = false;
    worker.next_contact = view.now;
    return;
  }
  MarkReachable(view, asked_at, report, worker);
  ClearUnexpectedLeases(worker);
  for (const TaskOutcome& outcome : report.finished)
    ApplyFinished(placement, view, outcome, worker);
  const std::set<TaskId> listed = TasksOf(report);
  const std::set<TaskId> expected = worker.tasks;
  for (const TaskId& task : expected) {
    if (!listed.contains(task))
      ApplyAbsence(placement, asked_at, task);
  }
  for (const WorkerLease& lease : report.leases)
    ApplyLease(placement, view, asked_at, lease, worker);
}

}  // namespace cowslipmast
