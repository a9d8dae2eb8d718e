#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <limits>

#include "src/placement/assignments.h"
#include "src/placement/decision_steps.h"

namespace cowslipmast {

namespace {

// Bounds the size of one log entry; the remaining ones follow 200 ms later.
constexpr size_t kMaxDropsPerEntry = 500;

JobEnded MakeEnd(const PlacementState& placement,
                 const PlacementView& view,
                 const TrackedJob& job) {
  JobEnded end{job.spec.id, placement.data_centre, placement.epoch, 0, 0};
  for (uint32_t index = 0; index < job.spec.task_count; ++index) {
    const TaskProgress progress =
        ProgressOfTask(job, view.data_centre, TaskId{job.spec.id, index});
    if (progress.failed ||
        (!progress.finished && progress.failures >= kMaxTaskFailures))
      ++end.failed;
    else if (progress.finished)
      ++end.done;
  }
  return end;
}

// A lease granted by a previous owner may still be valid without an assignment
// here.
bool RunsUnexpectedly(const PlacementState& placement, const JobId& id) {
  return std::any_of(placement.workers.begin(), placement.workers.end(),
                     [&id](const auto& item) {
                       const auto& unexpected = item.second.unexpected;
                       const auto lease = unexpected.lower_bound(TaskId{id, 0});
                       return lease != unexpected.end() &&
                              lease->first.job == id;
                     });
}

bool IsStopped(const PlacementState& placement,
               const PlacementView& view,
               const TrackedJob& job) {
  return job.cancelled && AreTaskLocationsKnown(placement, view, job) &&
         !RunsUnexpectedly(placement, job.spec.id);
}

}  // namespace

void EndJobs(PlacementState& placement,
             const PlacementView& view,
             PlacementDecision& decision) {
  for (auto& [id, job] : placement.jobs) {
    if (!job.waiting.empty() || !job.assigned.empty())
      continue;
    if (job.end_sent_at && view.now < *job.end_sent_at + kRecordRetryDelay)
      continue;
    const JobEnded end = MakeEnd(placement, view, job);
    if (end.done + end.failed < job.spec.task_count &&
        !IsStopped(placement, view, job))
      continue;
    job.end_sent_at = view.now;
    decision.control.emplace_back(end);
  }
}

// Every job in the stream was placed under this owner's epoch or an earlier
// one, so this process's state of `control` has the job unless it ended.
void DropEndedJobs(const PlacementState& placement,
                   const PlacementView& view,
                   PlacementDecision& decision) {
  const auto& tasks = view.data_centre.tasks;
  size_t drops = 0;
  for (auto next = tasks.begin();
       next != tasks.end() && drops < kMaxDropsPerEntry;) {
    const JobId& id = next->first.job;
    next = tasks.upper_bound(TaskId{id, std::numeric_limits<uint32_t>::max()});
    if (view.control.jobs.contains(id))
      continue;
    const EndedJob* ended = FindEndedJob(view.control, id);
    decision.outcomes.emplace_back(
        JobEnded{id, placement.data_centre, placement.epoch,
                 ended ? ended->done : 0, ended ? ended->failed : 0});
    ++drops;
  }
}

}  // namespace cowslipmast
