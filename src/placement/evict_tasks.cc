#include "src/placement/assignments.h"
#include "src/placement/decision_steps.h"
#include "src/placement/task_lifecycle.h"

namespace cowslipmast {

namespace {

// A task that is still listed after this time is sent the command again.
constexpr Duration kEvictRetryDelay = std::chrono::seconds(2);

bool MustMove(const TrackedWorker& worker,
              const TaskAssignment& assignment,
              bool in_service) {
  if (assignment.latency_critical || worker.probe == assignment.task)
    return false;
  return !in_service || !worker.in_vm_list ||
         worker.state != VmServiceState::kInService;
}

// The command is repeated only after a delay, because its reply does not say
// when the task will have ended.
bool MarkEvicting(const PlacementState& placement,
                  const PlacementView& view,
                  TaskAssignment& assignment) {
  if (assignment.evict_sent_at &&
      view.now < *assignment.evict_sent_at + kEvictRetryDelay)
    return false;
  if (!StepTask(*placement.charts, TaskEvent::kEvict, assignment.phase))
    return false;
  assignment.evict_sent_at = view.now;
  return true;
}

void EvictTask(PlacementState& placement,
               const PlacementView& view,
               const TrackedWorker& worker,
               bool in_service,
               TaskAssignment& assignment,
               PlacementDecision& decision) {
  const auto job = placement.jobs.find(assignment.task.job);
  const bool cancelled = job == placement.jobs.end() || job->second.cancelled;
  if (cancelled && !assignment.stop_sent)
    assignment.evict_sent_at.reset();
  if (cancelled && MarkEvicting(placement, view, assignment)) {
    assignment.stop_sent = true;
    Send(placement, view, worker.id, StopCommand{assignment.task}, decision);
  } else if (!cancelled && MustMove(worker, assignment, in_service) &&
             MarkEvicting(placement, view, assignment)) {
    Send(placement, view, worker.id, CheckpointCommand{assignment.task},
         decision);
  }
}

void StopUnexpectedTasks(PlacementState& placement,
                         const PlacementView& view,
                         TrackedWorker& worker,
                         PlacementDecision& decision) {
  if (!worker.stop_unexpected)
    return;
  worker.stop_unexpected = false;
  for (const auto& [task, resources] : worker.unexpected) {
    ++placement.counters.unexpected_tasks_stopped;
    Send(placement, view, worker.id, StopCommand{task}, decision);
  }
}

}  // namespace

void EvictTasks(PlacementState& placement,
                const PlacementView& view,
                PlacementDecision& decision) {
  const bool in_service =
      IsDataCentreInService(view.control.config, placement.data_centre);
  for (auto& [id, worker] : placement.workers) {
    if (!worker.fenced || worker.unreachable)
      continue;
    StopUnexpectedTasks(placement, view, worker, decision);
    for (const TaskId& task : worker.tasks)
      EvictTask(placement, view, worker, in_service,
                placement.assignments.at(task), decision);
  }
}

}  // namespace cowslipmast
