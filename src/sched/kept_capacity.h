#ifndef COWSLIPMAST_SRC_SCHED_KEPT_CAPACITY_H_
#define COWSLIPMAST_SRC_SCHED_KEPT_CAPACITY_H_

#include "src/sched/state.h"

namespace cowslipmast::sched {

/** Keeps free capacity from new long-running tasks, for tasks that had a run
 * and cannot start here yet: those whose workers do not answer, until their
 * leases expire, and lost ones that wait in other cells, whose owners see the
 * place in this cell's load and move them here. To be called once the cell's
 * own lost tasks are placed; holds until the next plan. */
void KeepForTasksThatHadRuns(State& state, TimePoint now);

/** What is kept on the worker from the task: from a new long-running one that
 * is not more urgent. */
Resources KeptFrom(const State& state,
                   const WorkerState& worker,
                   const TaskRef& ref);

/** True if the task, or the step's next one, is a long-running one that never
 * ran: those that had a run go first. */
bool IsNewLongRunning(const TaskRef& ref);
bool IsNewLongRunning(const ReadyKey& key);

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHED_KEPT_CAPACITY_H_
