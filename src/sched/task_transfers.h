#ifndef COWSLIPMAST_SRC_SCHED_TASK_TRANSFERS_H_
#define COWSLIPMAST_SRC_SCHED_TASK_TRANSFERS_H_

#include "src/sched/state.h"

namespace cowslipmast::sched {

/** Hands tasks that have waited too long to cells that can start them. Must be
 * called after tasks were placed. */
void PlanTaskTransfers(State& state, TimePoint now);

/** Adds tasks that were moved just now to new loads, which may not show them
 * yet. */
void CountRecentMoves(State& state, TimePoint now);

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHED_TASK_TRANSFERS_H_
