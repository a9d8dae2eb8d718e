#ifndef COWSLIPMAST_SRC_PLACEMENT_PLACES_H_
#define COWSLIPMAST_SRC_PLACEMENT_PLACES_H_

#include <string>

#include "cowslipmast/placement.h"

namespace cowslipmast {

/** The larger of both in each dimension. */
Resources LargerOf(const Resources& a, const Resources& b);

/** Adds a place and counts it against its worker and its team. */
TaskPlace& AddPlace(Placement& placement, TaskPlace place);

/** Changes what a place counts against its worker. */
void CountPlace(Placement& placement,
                TaskPlace& place,
                const Resources& counted);

/** Removes the place of a start that had no effect; the task waits again. */
void UndoPlace(Placement& placement, const TaskId& task);

/** Ends a place with a result that is to be recorded; frees the capacity. */
void EndPlace(Placement& placement,
              TaskPlace& place,
              TaskResult result,
              const std::string& checkpoint);

/** Erases a place without a result, whatever its phase. */
void DropPlace(Placement& placement, const TaskId& task);

/** Marks a worker as not answering, and the leases there. */
void MarkSilent(Placement& placement, WorkerView& worker);

/** What the log says of a task of a job in this data centre. */
TaskProgress ProgressOfTask(const JobView& job,
                            const DataCentreState& data_centre,
                            const TaskId& task);

/** Joins two reports on one task; the one with the higher attempt is newer. */
TaskProgress JoinProgress(const TaskProgress& a, const TaskProgress& b);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_PLACEMENT_PLACES_H_
