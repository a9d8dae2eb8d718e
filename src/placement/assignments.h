#ifndef COWSLIPMAST_SRC_PLACEMENT_ASSIGNMENTS_H_
#define COWSLIPMAST_SRC_PLACEMENT_ASSIGNMENTS_H_

#include <string>

#include "cowslipmast/placement.h"

namespace cowslipmast {

/** Returns the larger value of both in each dimension. */
Resources LargerOf(const Resources& a, const Resources& b);

/** Adds an assignment and reserves its resources on its worker and in its
 * team's quota. */
TaskPlace& AddAssignment(Placement& placement, TaskPlace assignment);

/** Changes the resources that an assignment reserves on its worker. */
void SetReserved(Placement& placement,
                 TaskPlace& assignment,
                 const Resources& counted);

/** Removes the assignment of a start that had no effect; the task waits again.
 */
void CancelAssignment(Placement& placement, const TaskId& task);

/** Ends an assignment with a result that has to be recorded; frees its
 * resources. */
void EndAssignment(Placement& placement,
                   TaskPlace& assignment,
                   TaskResult result,
                   const std::string& checkpoint);

/** Removes an assignment without a result, in any phase. */
void RemoveAssignment(Placement& placement, const TaskId& task);

/** Marks a worker and its leases as unreachable. */
void MarkUnreachable(Placement& placement, WorkerView& worker);

/** Returns the recorded progress of a task of a job in this data centre. */
TaskProgress ProgressOfTask(const TrackedJob& job,
                            const DataCentreState& data_centre,
                            const TaskId& task);

/** Merges two progress reports of one task; the one with the higher attempt is
 * newer. */
TaskProgress JoinProgress(const TaskProgress& a, const TaskProgress& b);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_PLACEMENT_ASSIGNMENTS_H_
