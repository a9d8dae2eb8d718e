#ifndef COWSLIPMAST_SRC_FOLD_APPLY_H_
#define COWSLIPMAST_SRC_FOLD_APPLY_H_

#include "cowslipmast/record.h"
#include "cowslipmast/shared_state.h"

namespace cowslipmast {

// The functions that return bool return false and leave the state unchanged if
// the record is void.

/** Applies a record of the `control` stream; snapshots have no effect. */
bool ApplyControlRecord(ControlState& state,
                        LogOffset offset,
                        const Record& record);

bool ApplyJoin(ControlState& state, LogOffset offset, const Join& record);
bool ApplyLeave(ControlState& state, LogOffset offset, const Leave& record);
bool ApplySettled(ControlState& state, const MembersSettled& record);

bool ApplyJobSubmitted(ControlState& state, const JobSubmitted& record);
bool ApplyJobCancelled(ControlState& state, const JobCancelled& record);
bool ApplyJobPlaced(ControlState& state, const JobPlaced& record);
bool ApplyJobReleased(ControlState& state, const JobReleased& record);
bool ApplyJobEnded(ControlState& state, const JobEnded& record);

/** Applies new outcomes; outcomes of attempts already recorded are ignored. */
void ApplyOutcomes(DataCentreState& state, const TaskOutcomes& record);
/** Drops the tasks of an ended job. */
void DropTasks(DataCentreState& state, const JobId& job);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_FOLD_APPLY_H_
