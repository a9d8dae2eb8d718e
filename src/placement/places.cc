#include "src/placement/places.h"

#include <algorithm>
#include <utility>

#include "src/placement/lifecycle.h"
#include "src/placement/quarantine.h"

namespace cowslipmast {

namespace {

// Gives back what the place holds on its worker and of its team's quota.
void FreePlace(Placement& placement, TaskPlace& place) {
  WorkerView& worker = placement.workers[place.worker];
  if (worker.tasks.erase(place.task) == 0)
    return;
  worker.counted -= place.counted;
  placement.team_usage[place.team] -= place.declared;
  if (worker.probe == place.task)
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

TaskPlace& AddPlace(Placement& placement, TaskPlace place) {
  WorkerView& worker = placement.workers[place.worker];
  worker.tasks.insert(place.task);
  worker.counted += place.counted;
  placement.team_usage[place.team] += place.declared;
  JobView& job = placement.jobs[place.task.job];
  job.waiting.erase(place.task.index);
  job.placed.insert(place.task.index);
  const TaskId task = place.task;
  return placement.places.insert_or_assign(task, std::move(place))
      .first->second;
}

void CountPlace(Placement& placement,
                TaskPlace& place,
                const Resources& counted) {
  WorkerView& worker = placement.workers[place.worker];
  worker.counted -= place.counted;
  place.counted = counted;
  worker.counted += counted;
}

void UndoPlace(Placement& placement, const TaskId& task) {
  const auto found = placement.places.find(task);
  if (found == placement.places.end())
    return;
  if (!StepTask(*placement.charts, TaskEvent::kNotStarted, found->second.phase))
    return;
  const auto job = placement.jobs.find(task.job);
  if (job != placement.jobs.end() && !job->second.cancelled)
    job->second.waiting.insert(task.index);
  DropPlace(placement, task);
}

void EndPlace(Placement& placement,
              TaskPlace& place,
              TaskResult result,
              const std::string& checkpoint) {
  if (!StepTask(*placement.charts, TaskEvent::kEnded, place.phase))
    return;
  StepLease(*placement.charts, LeaseEvent::kEnded, place.lease);
  place.outcome = {place.task, place.attempt, result, checkpoint};
  placement.ending.insert(place.task);
  CountResult(placement.counters, result);
  NoteResult(placement, place, result);
  FreePlace(placement, place);
}

void DropPlace(Placement& placement, const TaskId& task) {
  const auto found = placement.places.find(task);
  if (found == placement.places.end())
    return;
  FreePlace(placement, found->second);
  const auto job = placement.jobs.find(task.job);
  if (job != placement.jobs.end())
    job->second.placed.erase(task.index);
  placement.ending.erase(task);
  placement.places.erase(found);
}

void MarkSilent(Placement& placement, WorkerView& worker) {
  worker.silent = true;
  for (const TaskId& task : worker.tasks)
    StepLease(*placement.charts, LeaseEvent::kWorkerSilent,
              placement.places.at(task).lease);
}

TaskProgress JoinProgress(const TaskProgress& a, const TaskProgress& b) {
  TaskProgress joined = a.attempt < b.attempt ? b : a;
  // A later run that left no checkpoint does not void an earlier one.
  if (joined.checkpoint.empty())
    joined.checkpoint = a.checkpoint.empty() ? b.checkpoint : a.checkpoint;
  // Failures in an earlier data centre still count against the task.
  joined.failures = std::max(a.failures, b.failures);
  joined.finished = a.finished || b.finished;
  joined.failed = a.failed || b.failed;
  return joined;
}

TaskProgress ProgressOfTask(const JobView& job,
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
