#include "src/placement/assignments.h"

#include <algorithm>
#include <utility>

#include "src/placement/quarantine.h"
#include "src/placement/task_lifecycle.h"

namespace cowslipmast {

namespace {

// Frees what the assignment reserves on its worker and in its team's quota.
void FreeReservation(PlacementState& placement, TaskAssignment& assignment) {
  TrackedWorker& worker = placement.workers[assignment.worker];
  if (worker.tasks.erase(assignment.task) == 0)
    return;
  worker.reserved -= assignment.reserved;
  placement.team_usage[assignment.team] -= assignment.declared;
  if (worker.probe == assignment.task)
    worker.probe.reset();
}

void CountResult(PlacementCounters& counters, TaskResult result) {
  switch (result) {
    case TaskResult::kDone:
      ++counters.done;
      return;
    case TaskResult::kFailed:
      ++counters.failed;
      return;
    case TaskResult::kEvicted:
      ++counters.evicted;
      return;
    case TaskResult::kLost:
      ++counters.lost;
      return;
  }
}

}  // namespace

Resources LargerOf(const Resources& a, const Resources& b) {
  return {std::max(a.cpu, b.cpu), std::max(a.memory, b.memory),
          std::max(a.accelerators, b.accelerators)};
}

TaskAssignment& AddAssignment(PlacementState& placement,
                              TaskAssignment assignment) {
  TrackedWorker& worker = placement.workers[assignment.worker];
  worker.tasks.insert(assignment.task);
  worker.reserved += assignment.reserved;
  placement.team_usage[assignment.team] += assignment.declared;
  TrackedJob& job = placement.jobs[assignment.task.job];
  job.waiting.erase(assignment.task.index);
  job.assigned.insert(assignment.task.index);
  const TaskId task = assignment.task;
  return placement.assignments.insert_or_assign(task, std::move(assignment))
      .first->second;
}

void SetReserved(PlacementState& placement,
                 TaskAssignment& assignment,
                 const Resources& reserved) {
  TrackedWorker& worker = placement.workers[assignment.worker];
  worker.reserved -= assignment.reserved;
  assignment.reserved = reserved;
  worker.reserved += reserved;
}

void CancelAssignment(PlacementState& placement, const TaskId& task) {
  const auto found = placement.assignments.find(task);
  if (found == placement.assignments.end())
    return;
  if (!StepTask(*placement.charts, TaskEvent::kNotStarted, found->second.phase))
    return;
  const auto job = placement.jobs.find(task.job);
  if (job != placement.jobs.end() && !job->second.cancelled)
    job->second.waiting.insert(task.index);
  RemoveAssignment(placement, task);
}

void EndAssignment(PlacementState& placement,
                   TaskAssignment& assignment,
                   TaskResult result,
                   const std::string& checkpoint) {
  if (!StepTask(*placement.charts, TaskEvent::kEnded, assignment.phase))
    return;
  StepLease(*placement.charts, LeaseEvent::kEnded, assignment.lease);
  assignment.outcome = {assignment.task, assignment.attempt, result,
                        checkpoint};
  placement.ending.insert(assignment.task);
  CountResult(placement.counters, result);
  CountResultForWorker(placement, assignment, result);
  FreeReservation(placement, assignment);
}

void RemoveAssignment(PlacementState& placement, const TaskId& task) {
  const auto found = placement.assignments.find(task);
  if (found == placement.assignments.end())
    return;
  FreeReservation(placement, found->second);
  const auto job = placement.jobs.find(task.job);
  if (job != placement.jobs.end())
    job->second.assigned.erase(task.index);
  placement.ending.erase(task);
  placement.assignments.erase(found);
}

void MarkUnreachable(PlacementState& placement, TrackedWorker& worker) {
  worker.unreachable = true;
  for (const TaskId& task : worker.tasks)
    StepLease(*placement.charts, LeaseEvent::kWorkerSilent,
              placement.assignments.at(task).lease);
}

TaskProgress JoinProgress(const TaskProgress& a, const TaskProgress& b) {
  TaskProgress joined = a.attempt < b.attempt ? b : a;
  // A later attempt without a checkpoint does not invalidate an earlier
  // checkpoint.
  if (joined.checkpoint.empty())
    joined.checkpoint = a.checkpoint.empty() ? b.checkpoint : a.checkpoint;
  // Failures in a previous data centre still count against the task.
  joined.failures = std::max(a.failures, b.failures);
  joined.finished = a.finished || b.finished;
  joined.failed = a.failed || b.failed;
  return joined;
}

TaskProgress ProgressOfTask(const TrackedJob& job,
                            const DataCentreState& data_centre,
                            const TaskId& task) {
  TaskProgress progress;
  progress.index = task.index;
  const auto released = job.released.find(task.index);
  if (released != job.released.end())
    progress = released->second;
  const auto recorded = data_centre.tasks.find(task);
  if (recorded != data_centre.tasks.end())
    progress = JoinProgress(progress, recorded->second);
  return progress;
}

std::map<uint32_t, TaskProgress> ProgressOf(
    const JobEntry& job,
    const DataCentreState& data_centre) {
  std::map<uint32_t, TaskProgress> joined;
  for (const TaskProgress& progress : job.progress)
    joined[progress.index] = progress;
  auto recorded = data_centre.tasks.lower_bound(TaskId{job.spec.id, 0});
  for (; recorded != data_centre.tasks.end() &&
         recorded->first.job == job.spec.id;
       ++recorded) {
    TaskProgress& progress = joined[recorded->first.index];
    progress = JoinProgress(progress, recorded->second);
    progress.index = recorded->first.index;
  }
  return joined;
}

}  // namespace cowslipmast
