#ifndef COWSLIPMAST_SRC_SCHED_PLACING_H_
#define COWSLIPMAST_SRC_SCHED_PLACING_H_

#include "src/sched/state.h"

namespace cowslipmast::sched {

/** Best worker for a task that waits, or kNowhere.
 *
 * Answers load near capacity with tasks of two kinds. Tasks that count against
 * capacity are spread by the share that is reserved, and lasting ones leave a
 * part of each worker to short work that comes later. Tasks that fill go where
 * most processor time is left over, and wait rather than share it out so thin
 * that all of them are late. */
int32_t FindPlace(const State& state, const TaskRef& ref, TimePoint now);

/** Gives waiting tasks places, in order, and adds their starts to the plan. */
void PlaceReadyTasks(State& state, TimePoint now, Plan& plan);

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHED_PLACING_H_
