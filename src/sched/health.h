#ifndef COWSLIPMAST_SRC_SCHED_HEALTH_H_
#define COWSLIPMAST_SRC_SCHED_HEALTH_H_

#include "src/sched/state.h"

namespace cowslipmast::sched {

/** Learns from the end of a run whether a worker fails what it starts.
 *
 * Answers workers that look healthy and fail every task. A failed run costs
 * one of a few attempts, so two failures in a row, which sound workers show
 * for one task in some hundred, suffice to avoid a worker for a while. It then
 * gets one task to show that it works again. */
void NoteRunEnd(State& state, int32_t worker, EndKind how, TimePoint now);

/** True if the worker may get the task now. A task on its last attempt goes
 * only where the latest run was not a failure. */
bool IsTrusted(const Worker& worker, bool last_attempt, TimePoint now);

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHED_HEALTH_H_
