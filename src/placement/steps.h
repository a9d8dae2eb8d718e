#ifndef COWSLIPMAST_SRC_PLACEMENT_STEPS_H_
#define COWSLIPMAST_SRC_PLACEMENT_STEPS_H_

#include <utility>

#include "cowslipmast/placement.h"

namespace cowslipmast {

/** Clocks and messages may be off by this much when a lease has run out. */
inline constexpr Duration kLeaseMargin = std::chrono::milliseconds(200);
/** A record that was not read back by then is written again. */
inline constexpr Duration kRecordRetryDelay = std::chrono::seconds(5);

/** Adds a command to a worker to the decision. */
void Send(const Placement& placement,
          const PlacementView& view,
          const VmId& worker,
          WorkerAction action,
          PlacementDecision& decision);

/** True if tasks may be started in the data centre. */
bool IsDataCentreIn(const Config& config, const DataCentreId& data_centre);

/** True if it is known where each task of the job runs, if anywhere. */
bool IsJobSettled(const Placement& placement,
                  const PlacementView& view,
                  const JobView& job);

/** Takes the workers from the VM list and their states from the log. */
void SyncWorkers(Placement& placement, const PlacementView& view);

/** Takes the jobs of the data centre from the `control` stream. */
void SyncJobs(Placement& placement, const PlacementView& view);

/** Ends the tasks of silent workers whose leases have run out. */
void ExpireLeases(Placement& placement, const PlacementView& view);

/** Notes the moment from which no task runs at an unknown place. */
void UpdateSettled(Placement& placement, const PlacementView& view);

/** Completes ended tasks whose results were read back. */
void CompleteRecorded(Placement& placement, const PlacementView& view);

/** Fences, lists and renews workers, and acknowledges recorded results. */
void ContactWorkers(Placement& placement,
                    const PlacementView& view,
                    PlacementDecision& decision);

/** Stops cancelled and foreign tasks; checkpoints what must move. */
void EvictTasks(Placement& placement,
                const PlacementView& view,
                PlacementDecision& decision);

/** Slows, then moves batch tasks on workers whose processors are so busy that
 * latency-critical tasks there suffer. */
void RelieveWorkers(Placement& placement,
                    const PlacementView& view,
                    PlacementDecision& decision);

/** Gives up the jobs of a data centre that is out. */
void ReleaseJobs(Placement& placement,
                 const PlacementView& view,
                 PlacementDecision& decision);

/** Ends the jobs whose outcomes were all read back, and cancelled ones. */
void EndJobs(Placement& placement,
             const PlacementView& view,
             PlacementDecision& decision);

/** Drops the tasks of jobs that `control` no longer has from the data centre's
 * stream. */
void DropEndedJobs(const Placement& placement,
                   const PlacementView& view,
                   PlacementDecision& decision);

/** Takes jobs that no data centre has. */
void TakeJobs(Placement& placement,
              const PlacementView& view,
              PlacementDecision& decision);

/** Starts waiting tasks where they fit. */
void StartTasks(Placement& placement,
                const PlacementView& view,
                PlacementDecision& decision);

/** Takes in a worker's list. */
void ApplyReport(Placement& placement,
                 const PlacementView& view,
                 TimePoint asked_at,
                 const WorkerReport& report,
                 WorkerView& worker);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_PLACEMENT_STEPS_H_
