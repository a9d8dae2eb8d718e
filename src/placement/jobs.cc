#include <algorithm>
#include <utility>

#include "src/placement/places.h"
#include "src/placement/steps.h"

namespace cowslipmast {

namespace {

// Jobs that no worker here can hold are looked at again this often.
constexpr Duration kTakeInterval = std::chrono::milliseconds(500);

bool IsOver(const TaskProgress& progress) {
  return progress.finished || progress.failures >= kMaxFailures;
}

void AddJob(Placement& placement,
            const PlacementView& view,
            const JobEntry& entry) {
  JobView job;
  job.spec = entry.spec;
  job.order = placement.next_order++;
  const auto unplaced = placement.unplaced.find(entry.spec.id);
  // Only this owner can have placed a job that was free under its epoch.
  job.fresh = unplaced != placement.unplaced.end();
  job.seen_at = job.fresh ? unplaced->second.seen_at : view.now;
  for (const TaskProgress& progress : entry.progress)
    job.released[progress.index] = progress;
  for (uint32_t index = 0; index < entry.spec.task_count; ++index) {
    const TaskId task{entry.spec.id, index};
    if (!IsOver(ProgressOfTask(job, view.data_centre, task)))
      job.waiting.insert(index);
  }
  placement.jobs.insert_or_assign(entry.spec.id, std::move(job));
}

void SyncJob(Placement& placement,
             const PlacementView& view,
             const JobEntry& entry) {
  const JobId& id = entry.spec.id;
  if (entry.data_centre == placement.data_centre) {
    if (!placement.jobs.contains(id))
      AddJob(placement, view, entry);
    placement.unplaced.erase(id);
    JobView& job = placement.jobs[id];
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

// Tasks that a worker still lists count there as foreign from its next list;
// until then nothing may be started in their room.
void RemoveJob(Placement& placement, const JobId& id) {
  const std::set<uint32_t> placed = placement.jobs[id].placed;
  for (const uint32_t index : placed) {
    const TaskId task{id, index};
    WorkerView& worker = placement.workers[placement.places.at(task).worker];
    worker.list_before_start = true;
    DropPlace(placement, task);
  }
  placement.jobs.erase(id);
}

void RemoveGoneJobs(Placement& placement, const ControlState& control) {
  std::vector<JobId> gone;
  for (const auto& [id, job] : placement.jobs) {
    const auto entry = control.jobs.find(id);
    if (entry == control.jobs.end() ||
        entry->second.data_centre != placement.data_centre)
      gone.push_back(id);
  }
  for (const JobId& id : gone)
    RemoveJob(placement, id);
  std::erase_if(placement.unplaced, [&control](const auto& item) {
    return !control.jobs.contains(item.first);
  });
}

bool CanHold(const Placement& placement, const Resources& need) {
  return std::any_of(placement.workers.begin(), placement.workers.end(),
                     [&need](const auto& item) {
                       return item.second.listed_vm && item.second.listed_at &&
                              Fits(need, item.second.capacity);
                     });
}

// True if it is this data centre's turn to take the job: each further one in
// the ranking waits longer.
bool IsTurn(const Placement& placement,
            const PlacementView& view,
            const JobSpec& spec,
            const UnplacedJob& unplaced) {
  const std::vector<DataCentreId> ranked = RankDataCentres(spec, view.control);
  const auto own =
      std::find(ranked.begin(), ranked.end(), placement.data_centre);
  if (own == ranked.end())
    return false;
  return view.now >= unplaced.seen_at + kPlaceDelay * (own - ranked.begin());
}

JobReleased MakeRelease(const Placement& placement,
                        const PlacementView& view,
                        const JobView& job) {
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

void SyncJobs(Placement& placement, const PlacementView& view) {
  if (placement.synced == view.control.next)
    return;
  placement.synced = view.control.next;
  RemoveGoneJobs(placement, view.control);
  for (const auto& [id, entry] : view.control.jobs)
    SyncJob(placement, view, entry);
}

void ReleaseJobs(Placement& placement,
                 const PlacementView& view,
                 PlacementDecision& decision) {
  if (IsDataCentreIn(view.control.config, placement.data_centre))
    return;
  for (auto& [id, job] : placement.jobs) {
    if (job.waiting.empty() || !job.placed.empty() ||
        !IsJobSettled(placement, view, job))
      continue;
    if (job.release_sent && view.now < *job.release_sent + kRecordRetryDelay)
      continue;
    job.release_sent = view.now;
    decision.control.emplace_back(MakeRelease(placement, view, job));
  }
}

void TakeJobs(Placement& placement,
              const PlacementView& view,
              PlacementDecision& decision) {
  if (view.draining ||
      !IsDataCentreIn(view.control.config, placement.data_centre))
    return;
  for (auto& [id, unplaced] : placement.unplaced) {
    if (view.now < unplaced.next_check)
      continue;
    const JobSpec& spec = view.control.jobs.at(id).spec;
    if (!CanHold(placement, spec.resources) ||
        !IsTurn(placement, view, spec, unplaced)) {
      unplaced.next_check = view.now + kTakeInterval;
      continue;
    }
    unplaced.next_check = view.now + kRecordRetryDelay;
    decision.control.emplace_back(
        JobPlaced{id, placement.data_centre, placement.epoch});
  }
}

}  // namespace cowslipmast
