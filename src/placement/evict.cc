#include "src/placement/lifecycle.h"
#include "src/placement/places.h"
#include "src/placement/steps.h"

namespace cowslipmast {

namespace {

// A task that is still there after this time is told again.
constexpr Duration kEvictRetryDelay = std::chrono::seconds(2);

bool MustMove(const WorkerView& worker,
              const TaskPlace& place,
              bool data_centre_in) {
  if (place.latency_critical || worker.probe == place.task)
    return false;
  return !data_centre_in || !worker.listed_vm ||
         worker.state != VmServiceState::kInService;
}

// Sent again only after a while, because the reply says nothing about when the
// task will have ended.
bool MarkEvicting(const Placement& placement,
                  const PlacementView& view,
                  TaskPlace& place) {
  if (place.evict_sent && view.now < *place.evict_sent + kEvictRetryDelay)
    return false;
  if (!StepTask(*placement.charts, TaskEvent::kEvict, place.phase))
    return false;
  place.evict_sent = view.now;
  return true;
}

void EvictTask(Placement& placement,
               const PlacementView& view,
               const WorkerView& worker,
               bool data_centre_in,
               TaskPlace& place,
               PlacementDecision& decision) {
  const auto job = placement.jobs.find(place.task.job);
  const bool cancelled = job == placement.jobs.end() || job->second.cancelled;
  if (cancelled && !place.stop_sent)
    place.evict_sent.reset();
  if (cancelled && MarkEvicting(placement, view, place)) {
    place.stop_sent = true;
    Send(placement, view, worker.id, StopCommand{place.task}, decision);
  } else if (!cancelled && MustMove(worker, place, data_centre_in) &&
             MarkEvicting(placement, view, place)) {
    Send(placement, view, worker.id, CheckpointCommand{place.task}, decision);
  }
}

void StopForeign(Placement& placement,
                 const PlacementView& view,
                 WorkerView& worker,
                 PlacementDecision& decision) {
  if (!worker.stop_foreign)
    return;
  worker.stop_foreign = false;
  for (const auto& [task, resources] : worker.foreign) {
    ++placement.counters.foreign_stopped;
    Send(placement, view, worker.id, StopCommand{task}, decision);
  }
}

}  // namespace

void EvictTasks(Placement& placement,
                const PlacementView& view,
                PlacementDecision& decision) {
  const bool data_centre_in =
      IsDataCentreIn(view.control.config, placement.data_centre);
  for (auto& [id, worker] : placement.workers) {
    if (!worker.fenced || worker.silent)
      continue;
    StopForeign(placement, view, worker, decision);
    for (const TaskId& task : worker.tasks)
      EvictTask(placement, view, worker, data_centre_in,
                placement.places.at(task), decision);
  }
}

}  // namespace cowslipmast
