#ifndef COWSLIPMAST_SRC_SCHED_DRAINING_H_
#define COWSLIPMAST_SRC_SCHED_DRAINING_H_

#include "src/sched/state.h"

namespace cowslipmast::sched {

/** Stops tasks of workers that are about to leave where another worker has room
 * for them: long-running ones, for which the room is held, and those that keep
 * a checkpoint. Long-running tasks that have lost their runs go first. Must be
 * called before tasks are placed. */
void StopTasksOfDrainingWorkers(State& state, TimePoint now);

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHED_DRAINING_H_
