#ifndef COWSLIPMAST_SRC_PLACEMENT_QUARANTINE_H_
#define COWSLIPMAST_SRC_PLACEMENT_QUARANTINE_H_

#include "cowslipmast/placement.h"

namespace cowslipmast {

/** Cause of a VmStateSet record that a placer wrote. Only such a quarantine is
 * probed and lifted; one that an operator set stays until the operator acts. */
inline constexpr char kFailedStartsCause[] = "failed starts";

/** Counts a result for or against the worker and the job. */
void NoteResult(Placement& placement,
                const TaskPlace& place,
                TaskResult result);

/** Counts a start that the worker answered with an error of its own. */
void NoteStartError(WorkerView& worker);

/** Takes the state of a worker from the `control` stream. */
void SyncWorkerState(const PlacementView& view, WorkerView& worker);

/** Quarantines workers that fail their starts, and lifts quarantines. */
void DecideQuarantine(Placement& placement,
                      const PlacementView& view,
                      PlacementDecision& decision);

/** True if the worker is quarantined and may be tried with one task. */
bool IsProbeDue(const WorkerView& worker, TimePoint now);

/** Marks a task as the one that a quarantined worker is tried with. */
void BeginProbe(const TaskId& task, TimePoint now, WorkerView& worker);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_PLACEMENT_QUARANTINE_H_
