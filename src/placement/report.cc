#include <algorithm>

#include "src/placement/lifecycle.h"
#include "src/placement/places.h"
#include "src/placement/steps.h"

namespace cowslipmast {

namespace {

Resources CountedSize(const PlacementPolicy& policy, const WorkerLease& lease) {
  if (policy.size == SizePolicy::kDeclared)
    return lease.resources;
  return LargerOf(lease.resources, lease.usage);
}

TaskPlace* FindPlace(Placement& placement,
                     const TaskId& task,
                     Attempt attempt,
                     const VmId& worker) {
  const auto found = placement.places.find(task);
  if (found == placement.places.end() || found->second.attempt != attempt ||
      found->second.worker != worker)
    return nullptr;
  return &found->second;
}

// A task that an earlier owner started. Only one that waits is taken over; of
// any other it is known that it runs elsewhere, ended, or is not wanted.
TaskPlace* Adopt(Placement& placement,
                 const PlacementView& view,
                 const WorkerView& worker,
                 const WorkerLease& lease) {
  const auto job = placement.jobs.find(lease.task.job);
  if (job == placement.jobs.end() || job->second.cancelled ||
      job->second.release_sent ||
      !job->second.waiting.contains(lease.task.index))
    return nullptr;
  if (ProgressOfTask(job->second, view.data_centre, lease.task).attempt >=
      lease.attempt)
    return nullptr;
  TaskPlace place;
  place.task = lease.task;
  place.attempt = lease.attempt;
  place.worker = worker.id;
  place.phase = TaskPhase::kWaiting;
  place.team = job->second.spec.team;
  place.latency_critical = job->second.spec.latency_critical;
  place.declared = lease.resources;
  place.counted = lease.resources;
  return &AddPlace(placement, place);
}

void ApplyLease(Placement& placement,
                const PlacementView& view,
                TimePoint asked_at,
                const WorkerLease& lease,
                WorkerView& worker) {
  TaskPlace* place = FindPlace(placement, lease.task, lease.attempt, worker.id);
  if (!place && !placement.places.contains(lease.task))
    place = Adopt(placement, view, worker, lease);
  if (!place || place->phase == TaskPhase::kEnding) {
    worker.foreign[lease.task] = lease.resources;
    worker.counted += lease.resources;
    return;
  }
  if (place->phase == TaskPhase::kStarting)
    ++placement.counters.starts;
  if (StepTask(*placement.charts, TaskEvent::kStarted, place->phase))
    place->known_since = asked_at;
  StepLease(*placement.charts, LeaseEvent::kListed, place->lease);
  place->throttle_percent = lease.throttle_percent;
  place->usage = lease.usage;
  CountPlace(placement, *place, CountedSize(placement.policy, lease));
}

// The result of a run that this owner does not know of as running here.
void ApplyUnexpectedResult(Placement& placement,
                           const JobView& job,
                           const TaskOutcome& outcome,
                           WorkerView& worker) {
  const auto found = placement.places.find(outcome.task);
  if (found != placement.places.end()) {
    TaskPlace& place = found->second;
    // The lease was taken as lost, and now the real result is there.
    if (place.phase == TaskPhase::kEnding && place.worker == worker.id &&
        place.attempt == outcome.attempt)
      place.outcome = outcome;
    else if (place.worker != worker.id)
      worker.to_acknowledge.emplace_back(outcome.task, outcome.attempt);
    return;
  }
  if (!job.waiting.contains(outcome.task.index) && !job.cancelled)
    return;
  TaskPlace place;
  place.task = outcome.task;
  place.attempt = outcome.attempt;
  place.worker = worker.id;
  place.phase = TaskPhase::kWaiting;
  place.team = job.spec.team;
  EndPlace(placement, AddPlace(placement, place), outcome.result,
           outcome.checkpoint);
}

void ApplyFinished(Placement& placement,
                   const PlacementView& view,
                   const TaskOutcome& outcome,
                   WorkerView& worker) {
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
  TaskPlace* place =
      FindPlace(placement, outcome.task, outcome.attempt, worker.id);
  if (place && place->phase != TaskPhase::kEnding)
    EndPlace(placement, *place, outcome.result, outcome.checkpoint);
  else
    ApplyUnexpectedResult(placement, job->second, outcome, worker);
}

// A task that the worker should have and does not list.
void ApplyAbsence(Placement& placement,
                  TimePoint asked_at,
                  const TaskId& task) {
  TaskPlace& place = placement.places.at(task);
  if (place.phase != TaskPhase::kStarting) {
    if (asked_at > place.known_since)
      EndPlace(placement, place, TaskResult::kLost, "");
    return;
  }
  // A start without a reply may still arrive until its time is over.
  if (place.lease == LeasePhase::kUncertain && asked_at > place.start_closed) {
    StepLease(*placement.charts, LeaseEvent::kRefused, place.lease);
    UndoPlace(placement, task);
  }
}

std::set<TaskId> TasksOf(const WorkerReport& report) {
  std::set<TaskId> tasks;
  for (const WorkerLease& lease : report.leases)
    tasks.insert(lease.task);
  return tasks;
}

void ClearForeign(WorkerView& worker) {
  for (const auto& [task, resources] : worker.foreign)
    worker.counted -= resources;
  worker.foreign.clear();
}

void MarkAnswering(const PlacementView& view,
                   TimePoint asked_at,
                   const WorkerReport& report,
                   WorkerView& worker) {
  if (worker.silent || !worker.listed_at)
    worker.next_renew = view.now;
  worker.silent = false;
  worker.listed_at = asked_at;
  worker.list_before_start = false;
  worker.capacity = report.capacity;
  worker.stop_foreign = true;
  for (const WorkerLease& lease : report.leases)
    worker.lease_until =
        std::max(worker.lease_until, view.now + lease.expires_in);
}

}  // namespace

void ApplyReport(Placement& placement,
                 const PlacementView& view,
                 TimePoint asked_at,
                 const WorkerReport& report,
                 WorkerView& worker) {
  if (report.max_epoch > placement.epoch) {
    placement.superseded = true;
    return;
  }
  if (report.max_epoch < placement.epoch) {
    // The worker was restarted and has forgotten the fence.
    worker.fenced = false;
    worker.next_contact = view.now;
    return;
  }
  MarkAnswering(view, asked_at, report, worker);
  ClearForeign(worker);
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
