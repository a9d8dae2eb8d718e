#include "cowslipmast/placement.h"

#include <utility>

#include "src/placement/assignments.h"
#include "src/placement/decision_steps.h"
#include "src/placement/quarantine.h"
#include "src/placement/task_lifecycle.h"

namespace cowslipmast {

namespace {

// Bounds the size of one log entry; the remaining ones follow 200 ms later.
constexpr size_t kMaxOutcomesPerRecord = 500;

void RecordEnding(const PlacementState& placement,
                  PlacementDecision& decision) {
  if (placement.ending.empty())
    return;
  TaskOutcomes record{placement.data_centre, placement.epoch, {}};
  for (const TaskId& task : placement.ending) {
    if (record.outcomes.size() >= kMaxOutcomesPerRecord)
      break;
    record.outcomes.push_back(placement.assignments.at(task).outcome);
  }
  decision.outcomes.emplace_back(std::move(record));
}

// Decides from the folded state alone: a record that was not read back is
// written again, possibly by the next owner.
void RecordOutcomes(PlacementState& placement,
                    const PlacementView& view,
                    PlacementDecision& decision) {
  if (placement.outcomes_in_flight || view.now < placement.next_outcomes)
    return;
  RecordEnding(placement, decision);
  DropEndedJobs(placement, view, decision);
  if (decision.outcomes.empty())
    return;
  placement.outcomes_in_flight = true;
  placement.next_outcomes = view.now + kOutcomeAppendInterval;
}

TaskEvent RecordedEvent(const TaskProgress& progress) {
  if (progress.finished && !progress.failed)
    return TaskEvent::kRecordedDone;
  if (progress.finished || progress.failures >= kMaxTaskFailures)
    return TaskEvent::kRecordedFailed;
  return TaskEvent::kRecordedAgain;
}

}  // namespace

PlacementState MakePlacement(const DataCentreId& data_centre,
                             Epoch epoch,
                             const PlacementPolicy& policy,
                             std::shared_ptr<const PlacementCharts> charts,
                             TimePoint now) {
  PlacementState placement;
  placement.data_centre = data_centre;
  placement.epoch = epoch;
  placement.policy = policy;
  placement.charts = std::move(charts);
  placement.owned_since = now;
  return placement;
}

PlacementDecision DecidePlacement(PlacementState& placement,
                                  const PlacementView& view) {
  PlacementDecision decision;
  if (!view.permitted || placement.superseded)
    return decision;
  SyncWorkers(placement, view);
  SyncJobs(placement, view);
  ExpireLeases(placement, view);
  UpdateAllLeasesKnown(placement, view);
  CompleteRecorded(placement, view);
  ContactWorkers(placement, view, decision);
  EvictTasks(placement, view, decision);
  ReduceOverload(placement, view, decision);
  ReleaseJobs(placement, view, decision);
  EndJobs(placement, view, decision);
  TakeJobs(placement, view, decision);
  DecideQuarantine(placement, view, decision);
  StartTasks(placement, view, decision);
  RecordOutcomes(placement, view, decision);
  return decision;
}

void OutcomesAppended(PlacementState& placement) {
  placement.outcomes_in_flight = false;
}

void Send(const PlacementState& placement,
          const PlacementView& view,
          const VmId& worker,
          WorkerAction action,
          PlacementDecision& decision) {
  decision.commands.push_back(
      {worker, placement.epoch, view.now, std::move(action)});
}

bool IsDataCentreInService(const Config& config,
                           const DataCentreId& data_centre) {
  const auto found = config.data_centres.find(data_centre);
  return found != config.data_centres.end() &&
         found->second.availability == DataCentreAvailability::kInService;
}

bool AreTaskLocationsKnown(const PlacementState& placement,
                           const PlacementView& view,
                           const TrackedJob& job) {
  if (job.placed_by_this_owner)
    return true;
  // A previous owner may have recorded and acknowledged a result just before
  // the worker was fenced; the state here must include that record.
  return placement.all_leases_known_at && view.outcome_proof &&
         *view.outcome_proof >= *placement.all_leases_known_at;
}

void CompleteRecorded(PlacementState& placement, const PlacementView& view) {
  const std::set<TaskId> ending = placement.ending;
  for (const TaskId& task : ending) {
    TaskAssignment& assignment = placement.assignments.at(task);
    const auto job = placement.jobs.find(task.job);
    if (job == placement.jobs.end()) {
      RemoveAssignment(placement, task);
      continue;
    }
    const TaskProgress progress =
        ProgressOfTask(job->second, view.data_centre, task);
    if (progress.attempt < assignment.attempt && !progress.finished)
      continue;
    const TaskEvent event = RecordedEvent(progress);
    StepTask(*placement.charts, event, assignment.phase);
    RemoveAssignment(placement, task);
    if (event == TaskEvent::kRecordedAgain && !job->second.cancelled)
      job->second.waiting.insert(task.index);
  }
}

}  // namespace cowslipmast
