#ifndef COWSLIPMAST_SRC_PLACEMENT_ASSIGNMENTS_H_
#define COWSLIPMAST_SRC_PLACEMENT_ASSIGNMENTS_H_

#include <string>

#include "cowslipmast/placement.h"

namespace cowslipmast {

/** Returns the larger value of both in each dimension. */
Resources LargerOf(const Resources& a, const Resources& b);

/** Adds an assignment and reserves its resources on its worker and in its
 * team's quota. */
TaskAssignment& AddAssignment(PlacementState& placement,
                              TaskAssignment assignment);

/** Changes the resources that an assignment reserves on its worker. */
void SetReserved(PlacementState& placement,
                 TaskAssignment& assignment,
                 const Resources& reserved);

/** Removes the assignment of a start that had no effect; the task waits again.
 */
void CancelAssignment(PlacementState& placement, const TaskId& task);

/** Ends an assignment with a result that has to be recorded; frees its
 * resources. */
void EndAssignment(PlacementState& placement,
                   TaskAssignment& assignment,
                   TaskResult result,
                   const std::string& checkpoint);

/** Removes an assignment without a result, in any phase. */
void RemoveAssignment(PlacementState& placement, const TaskId& task);

/** Marks a worker and its leases as unreachable. */
void MarkUnreachable(PlacementState& placement, TrackedWorker& worker);

/** Returns the recorded progress of a task of a job in this data centre. */
TaskProgress ProgressOfTask(const TrackedJob& job,
                            const DataCentreState& data_centre,
                            const TaskId& task);

/** Merges two progress reports of one task; the one with the higher attempt is
 * newer. */
TaskProgress JoinProgress(const TaskProgress& a, const TaskProgress& b);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_PLACEMENT_ASSIGNMENTS_H_
