#ifndef COWSLIPMAST_SRC_PLACEMENT_DECISION_STEPS_H_
#define COWSLIPMAST_SRC_PLACEMENT_DECISION_STEPS_H_

#include <utility>

#include "cowslipmast/placement.h"

namespace cowslipmast {

/** Added to the end of a lease to allow for clock errors and message delays. */
inline constexpr Duration kLeaseExpiryMargin = std::chrono::milliseconds(200);
/** A record that has not been read back after this time is written again. */
inline constexpr Duration kRecordRetryDelay = std::chrono::seconds(5);

/** Adds a command for a worker to the decision. */
void Send(const PlacementState& placement,
          const PlacementView& view,
          const VmId& worker,
          WorkerAction action,
          PlacementDecision& decision);

/** Returns true if tasks may be started in the data centre. */
bool IsDataCentreInService(const Config& config,
                           const DataCentreId& data_centre);

/** Returns true if it is known for each task of the job where it runs, if at
 * all. */
bool AreTaskLocationsKnown(const PlacementState& placement,
                           const PlacementView& view,
                           const TrackedJob& job);

/** Updates the workers from the VM list and their service states from the log.
 */
void SyncWorkers(PlacementState& placement, const PlacementView& view);

/** Updates the jobs of the data centre from the `control` stream. */
void SyncJobs(PlacementState& placement, const PlacementView& view);

/** Ends the tasks of unreachable workers whose leases have expired. */
void ExpireLeases(PlacementState& placement, const PlacementView& view);

/** Sets the time from which no task can be running on an unknown worker. */
void UpdateAllLeasesKnown(PlacementState& placement, const PlacementView& view);

/** Completes ended tasks whose results were read back from the log. */
void CompleteRecorded(PlacementState& placement, const PlacementView& view);

/** Sends fence, list and renew commands to workers, and acknowledges recorded
 * results. */
void ContactWorkers(PlacementState& placement,
                    const PlacementView& view,
                    PlacementDecision& decision);

/** Stops cancelled and unexpected tasks; checkpoints tasks that must move. */
void EvictTasks(PlacementState& placement,
                const PlacementView& view,
                PlacementDecision& decision);

/** Throttles, then evicts batch tasks on workers whose processors are so busy
 * that latency-critical tasks there are slowed down. */
void ReduceOverload(PlacementState& placement,
                    const PlacementView& view,
                    PlacementDecision& decision);

/** Releases the jobs of a data centre that is out of service. */
void ReleaseJobs(PlacementState& placement,
                 const PlacementView& view,
                 PlacementDecision& decision);

/** Ends jobs whose outcomes were all read back, and cancelled jobs that have
 * stopped. */
void EndJobs(PlacementState& placement,
             const PlacementView& view,
             PlacementDecision& decision);

/** Drops from the data centre's stream the tasks of jobs that `control` no
 * longer has. */
void DropEndedJobs(const PlacementState& placement,
                   const PlacementView& view,
                   PlacementDecision& decision);

/** Takes jobs that are not placed in any data centre. */
void TakeJobs(PlacementState& placement,
              const PlacementView& view,
              PlacementDecision& decision);

/** Starts waiting tasks on workers where they fit. */
void StartTasks(PlacementState& placement,
                const PlacementView& view,
                PlacementDecision& decision);

/** Applies a worker's list. */
void ApplyReport(PlacementState& placement,
                 const PlacementView& view,
                 TimePoint asked_at,
                 const WorkerReport& report,
                 TrackedWorker& worker);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_PLACEMENT_DECISION_STEPS_H_
