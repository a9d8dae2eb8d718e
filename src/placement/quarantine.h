#ifndef COWSLIPMAST_SRC_PLACEMENT_QUARANTINE_H_
#define COWSLIPMAST_SRC_PLACEMENT_QUARANTINE_H_

#include "cowslipmast/placement.h"

namespace cowslipmast {

/** Cause in VmStateSet records written by a placement process. Only a
 * quarantine with this cause is probed and lifted; one set by an operator stays
 * until the operator ends it. */
inline constexpr char kFailedStartsCause[] = "failed starts";

/** Updates the failure counts of the worker and the job with a task's result.
 */
void CountResultForWorker(PlacementState& placement,
                          const TaskAssignment& assignment,
                          TaskResult result);

/** Counts a start that the worker refused as a bad request. */
void CountStartError(TrackedWorker& worker);

/** Updates a worker's service state from the `control` stream. */
void SyncWorkerState(const PlacementView& view, TrackedWorker& worker);

/** Quarantines workers whose starts keep failing, and lifts quarantines after a
 * successful probe. */
void DecideQuarantine(PlacementState& placement,
                      const PlacementView& view,
                      PlacementDecision& decision);

/** Returns true if the worker is quarantined and may be probed with one task.
 */
bool IsProbeDue(const TrackedWorker& worker, TimePoint now);

/** Marks a task as the probe of a quarantined worker. */
void BeginProbe(const TaskId& task, TimePoint now, TrackedWorker& worker);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_PLACEMENT_QUARANTINE_H_
