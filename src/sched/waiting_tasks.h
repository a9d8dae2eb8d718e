#ifndef COWSLIPMAST_SRC_SCHED_WAITING_TASKS_H_
#define COWSLIPMAST_SRC_SCHED_WAITING_TASKS_H_

#include "src/sched/state.h"

namespace cowslipmast::sched {

/** Work that has waited for a worker longer than it should. */
WaitingSummary SummarizeWaitingWork(const State& state, TimePoint now);

/** Logs, once a second, the tasks that have waited longest, each with the
 * workers that pass each condition for its placement. To be called after a
 * plan: a task that waits although a worker passes all conditions is one that
 * the plan has missed. */
void LogWaitingTasks(State& state, TimePoint now);

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHED_WAITING_TASKS_H_
