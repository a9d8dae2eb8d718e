#ifndef COWSLIPMAST_SRC_PLACEMENT_TASK_LIFECYCLE_H_
#define COWSLIPMAST_SRC_PLACEMENT_TASK_LIFECYCLE_H_

#include "cowslipmast/placement.h"

namespace cowslipmast {

// The events of charts/task.toml and charts/lease.toml; the charts say when
// each one occurs.
enum class TaskEvent {
  kStart,
  kStarted,
  kNotStarted,
  kEvict,
  kEnded,
  kRecordedDone,
  kRecordedFailed,
  kRecordedAgain,
};

enum class LeaseEvent {
  kGranted,
  kRefused,
  kReplyLost,
  kWorkerSilent,
  kListed,
  kEnded,
};

/** Applies one event to `phase`; returns false and changes nothing if the phase
 * ignores the event. */
bool StepTask(const PlacementCharts& charts, TaskEvent event, TaskPhase& phase);
bool StepLease(const PlacementCharts& charts,
               LeaseEvent event,
               LeasePhase& phase);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_PLACEMENT_TASK_LIFECYCLE_H_
