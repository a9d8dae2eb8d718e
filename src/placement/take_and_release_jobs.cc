#include <algorithm>
#include <utility>

#include "src/placement/assignments.h"
#include "src/placement/decision_steps.h"

namespace cowslipmast {

namespace {

// Interval for rechecking jobs that no worker here can hold, or that are not
// this data centre's turn yet.
constexpr Duration kTakeJobRetryInterval = std::chrono::milliseconds(500);

bool IsTaskOver(const TaskProgress& progress) {
  return progress.finished || progress.failures >= kMaxTaskFailures;
}

void AddJob(PlacementState& placement,
            const PlacementView& view,
            const JobEntry& entry) {
  TrackedJob job;
  job.spec = entry.spec;
  job.order = placement.next_order++;
  const auto unplaced = placement.unplaced.find(entry.spec.id);
  // Only this owner can have placed a job that was unplaced during its epoch.
  job.placed_by_this_owner = unplaced != placement.unplaced.end();
  job.seen_at = job.placed_by_this_owner ? unplaced->second.seen_at : view.now;
  for (const TaskProgress& progress : entry.progress)
    job.released[progress.index] = progress;
  for (uint32_t index = 0; index < entry.spec.task_count; ++index) {
    const TaskId task{entry.spec.id, index};
    if (!IsTaskOver(ProgressOfTask(job, view.data_centre, task)))
      job.waiting.insert(index);
  }
  placement.jobs.insert_or_assign(entry.spec.id, std::move(job));
}

void SyncJob(PlacementState& placement,
             const PlacementView& view,
             const JobEntry& entry) {
  const JobId& id = entry.spec.id;
  if (entry.data_centre == placement.data_centre) {
    if (!placement.jobs.contains(id))
      AddJob(placement, view, entry);
    placement.unplaced.erase(id);
    TrackedJob& job = placement.jobs[id];
    job.cancelled = entry.cancelled;
    if (job.cancelled)
      job.waiting.clear();
    return;
  }
  if (entry.data_centre || entry.cancelled)
    placement.unplaced.erase(id);
  else
    placement.unplaced.try_emplace(id, UnplacedJob{view.now, view.now});
}

// Tasks that a worker still lists count as unexpected from its next list on;
// until then nothing may be started on the worker, since they still use its
// capacity.
void RemoveJob(PlacementState& placement, const JobId& id) {
  const std::set<uint32_t> assigned = placement.jobs[id].assigned;
  for (const uint32_t index : assigned) {
    const TaskId task{id, index};
    TrackedWorker& worker =
        placement.workers[placement.assignments.at(task).worker];
    worker.list_before_start = true;
    RemoveAssignment(placement, task);
  }
  placement.jobs.erase(id);
}

void RemoveLostJobs(PlacementState& placement, const ControlState& control) {
  std::vector<JobId> lost;
  for (const auto& [id, job] : placement.jobs) {
    const auto entry = control.jobs.find(id);
    if (entry == control.jobs.end() ||
        entry->second.data_centre != placement.data_centre)
      lost.push_back(id);
  }
  for (const JobId& id : lost)
    RemoveJob(placement, id);
  std::erase_if(placement.unplaced, [&control](const auto& item) {
    return !control.jobs.contains(item.first);
  });
}

bool HasWorkerFor(const PlacementState& placement, const Resources& need) {
  return std::any_of(placement.workers.begin(), placement.workers.end(),
                     [&need](const auto& item) {
                       return item.second.in_vm_list && item.second.listed_at &&
                              Fits(need, item.second.capacity);
                     });
}

// Returns true if it is this data centre's turn to take the job: each further
// data centre in the ranking waits longer.
bool IsOwnTurn(const PlacementState& placement,
               const PlacementView& view,
               const JobSpec& spec,
               const UnplacedJob& unplaced) {
  const std::vector<DataCentreId> ranked = RankDataCentres(spec, view.control);
  const auto own =
      std::find(ranked.begin(), ranked.end(), placement.data_centre);
  if (own == ranked.end())
    return false;
  return view.now >=
         unplaced.seen_at + kTakeJobDelayPerRank * (own - ranked.begin());
}

JobReleased MakeRelease(const PlacementState& placement,
                        const PlacementView& view,
                        const TrackedJob& job) {
  JobReleased release{job.spec.id, placement.data_centre, placement.epoch, {}};
  for (uint32_t index = 0; index < job.spec.task_count; ++index) {
    TaskProgress progress =
        ProgressOfTask(job, view.data_centre, TaskId{job.spec.id, index});
    if (progress.attempt > Attempt())
      release.progress.push_back(std::move(progress));
  }
  return release;
}

}  // namespace

void SyncJobs(PlacementState& placement, const PlacementView& view) {
  if (placement.synced_next == view.control.next)
    return;
  placement.synced_next = view.control.next;
  RemoveLostJobs(placement, view.control);
  for (const auto& [id, entry] : view.control.jobs)
    SyncJob(placement, view, entry);
}

void ReleaseJobs(PlacementState& placement,
                 const PlacementView& view,
                 PlacementDecision& decision) {
  if (IsDataCentreInService(view.control.config, placement.data_centre))
    return;
  for (auto& [id, job] : placement.jobs) {
    if (job.waiting.empty() || !job.assigned.empty() ||
        !AreTaskLocationsKnown(placement, view, job))
      continue;
    if (job.release_sent_at &&
        view.now < *job.release_sent_at + kRecordRetryDelay)
      continue;
    job.release_sent_at = view.now;
    decision.control.emplace_back(MakeRelease(placement, view, job));
  }
}

void TakeJobs(PlacementState& placement,
              const PlacementView& view,
              PlacementDecision& decision) {
  if (view.draining ||
      !IsDataCentreInService(view.control.config, placement.data_centre))
    return;
  for (auto& [id, unplaced] : placement.unplaced) {
    if (view.now < unplaced.next_check)
      continue;
    const JobSpec& spec = view.control.jobs.at(id).spec;
    if (!HasWorkerFor(placement, spec.resources) ||
        !IsOwnTurn(placement, view, spec, unplaced)) {
      unplaced.next_check = view.now + kTakeJobRetryInterval;
      continue;
    }
    unplaced.next_check = view.now + kRecordRetryDelay;
    decision.control.emplace_back(
        JobPlaced{id, placement.data_centre, placement.epoch});
  }
}

}  // namespace cowslipmast
