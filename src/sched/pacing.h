#ifndef COWSLIPMAST_SRC_SCHED_PACING_H_
#define COWSLIPMAST_SRC_SCHED_PACING_H_

#include "src/sched/state.h"

namespace cowslipmast::sched {

/** Slows down the tasks that fill a worker while a task beside them is near or
 * over its latency target, and speeds them up again step by step.
 *
 * Answers filling tasks that disturb serving ones by amounts that are not
 * known beforehand and change within seconds. */
void PaceFillingTasks(State& state, int32_t worker, TimePoint now);

/** Adds a command for each run whose pace differs from its worker's. */
void PlanPaces(State& state, Plan& plan);

/** True if the worker runs both tasks with a latency target and tasks that
 * fill. */
bool IsShared(const Worker& worker);

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHED_PACING_H_
