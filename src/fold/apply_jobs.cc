#include <algorithm>
#include <map>
#include <utility>

#include "src/fold/apply.h"

namespace cowslipmast {

namespace {

bool IsOwnersEpoch(const ControlState& state,
                   const DataCentreId& data_centre,
                   Epoch epoch) {
  const auto it = state.ownership.find(ResourceId(data_centre));
  return it != state.ownership.end() && it->second.owner &&
         it->second.epoch == epoch;
}

bool AllowsDataCentre(const JobSpec& spec, const DataCentreId& data_centre) {
  return spec.data_centres.empty() ||
         std::find(spec.data_centres.begin(), spec.data_centres.end(),
                   data_centre) != spec.data_centres.end();
}

// Keeps the progress reported by previous data centres for tasks that were not
// started again since.
std::vector<TaskProgress> MergeProgress(
    const std::vector<TaskProgress>& earlier,
    const std::vector<TaskProgress>& later) {
  std::map<uint32_t, TaskProgress> merged;
  for (const TaskProgress& progress : earlier)
    merged[progress.index] = progress;
  for (const TaskProgress& progress : later)
    merged[progress.index] = progress;
  std::vector<TaskProgress> result;
  result.reserve(merged.size());
  for (auto& [index, progress] : merged)
    result.push_back(std::move(progress));
  return result;
}

void EndJob(ControlState& state, const EndedJob& ended) {
  state.jobs.erase(ended.id);
  state.ended_jobs.push_back(ended);
  if (state.ended_jobs.size() > kMaxEndedJobs)
    state.ended_jobs.pop_front();
}

// Ends a cancelled job that is not placed: it has no owner that would end it.
void EndIfCancelledAndUnplaced(ControlState& state, const JobEntry& entry) {
  if (!entry.cancelled || entry.data_centre)
    return;
  EndedJob ended{entry.spec.id, 0, 0, true};
  for (const TaskProgress& progress : entry.progress) {
    const bool gave_up =
        progress.failed ||
        (!progress.finished && progress.failures >= kMaxTaskFailures);
    ended.failed += gave_up ? 1 : 0;
    ended.done += progress.finished && !gave_up ? 1 : 0;
  }
  EndJob(state, ended);
}

}  // namespace

const EndedJob* FindEndedJob(const ControlState& state, const JobId& id) {
  const auto found =
      std::find_if(state.ended_jobs.begin(), state.ended_jobs.end(),
                   [&id](const EndedJob& ended) { return ended.id == id; });
  return found == state.ended_jobs.end() ? nullptr : &*found;
}

bool ApplyJobSubmitted(ControlState& state, const JobSubmitted& record) {
  if (record.spec.id.empty() || record.spec.task_count == 0 ||
      FindEndedJob(state, record.spec.id))
    return false;
  JobEntry entry;
  entry.spec = record.spec;
  return state.jobs.emplace(record.spec.id, std::move(entry)).second;
}

bool ApplyJobCancelled(ControlState& state, const JobCancelled& record) {
  const auto it = state.jobs.find(record.job);
  if (it == state.jobs.end() || it->second.cancelled)
    return false;
  it->second.cancelled = true;
  EndIfCancelledAndUnplaced(state, it->second);
  return true;
}

bool ApplyJobPlaced(ControlState& state, const JobPlaced& record) {
  const auto it = state.jobs.find(record.job);
  if (it == state.jobs.end() || it->second.cancelled ||
      it->second.data_centre ||
      !AllowsDataCentre(it->second.spec, record.data_centre) ||
      !IsOwnersEpoch(state, record.data_centre, record.epoch))
    return false;
  it->second.data_centre = record.data_centre;
  return true;
}

bool ApplyJobReleased(ControlState& state, const JobReleased& record) {
  const auto it = state.jobs.find(record.job);
  if (it == state.jobs.end() || it->second.data_centre != record.data_centre ||
      !IsOwnersEpoch(state, record.data_centre, record.epoch))
    return false;
  it->second.data_centre.reset();
  it->second.progress = MergeProgress(it->second.progress, record.progress);
  EndIfCancelledAndUnplaced(state, it->second);
  return true;
}

bool ApplyJobEnded(ControlState& state, const JobEnded& record) {
  const auto it = state.jobs.find(record.job);
  if (it == state.jobs.end() || it->second.data_centre != record.data_centre ||
      !IsOwnersEpoch(state, record.data_centre, record.epoch))
    return false;
  EndJob(state, {record.job, record.done, record.failed, it->second.cancelled});
  return true;
}

}  // namespace cowslipmast
