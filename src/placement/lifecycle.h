#ifndef COWSLIPMAST_SRC_PLACEMENT_LIFECYCLE_H_
#define COWSLIPMAST_SRC_PLACEMENT_LIFECYCLE_H_

#include "cowslipmast/placement.h"

namespace cowslipmast {

enum class TaskEvent {
  kStart,       // a start command leaves
  kStarted,     // a reply or a list shows the task on the worker
  kNotStarted,  // the start did not and cannot take effect
  kEvict,       // a checkpoint or a stop command leaves
  kEnded,       // the result is known
  kRecordedDone,
  kRecordedFailed,
  kRecordedAgain,  // recorded, and the task is to run again
};

enum class LeaseEvent {
  kGranted,
  kRefused,
  kReplyLost,
  kWorkerSilent,
  kListed,
  kEnded,
};

/** Takes one step; false, and no change, if the phase has no such event. */
bool StepTask(TaskEvent event, TaskPhase& phase);
bool StepLease(LeaseEvent event, LeasePhase& phase);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_PLACEMENT_LIFECYCLE_H_
