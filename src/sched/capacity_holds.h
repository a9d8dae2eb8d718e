#ifndef COWSLIPMAST_SRC_SCHED_CAPACITY_HOLDS_H_
#define COWSLIPMAST_SRC_SCHED_CAPACITY_HOLDS_H_

#include <vector>

#include "src/sched/state.h"

namespace cowslipmast::sched {

/** Ends the holds of steps that no longer wait and of workers that can no
 * longer run them, and those that have lasted for too long. */
void ReviewHolds(State& state, TimePoint now);

/** Makes room for long-running tasks that have lost their workers, are overdue
 * and found no other one: each displaces tasks on the worker where least is
 * lost, and the capacity there is held for it. What ends by itself frees small
 * pieces, which others would take one by one. */
void HoldForOverdueTasks(State& state, TimePoint now);

/** Steps with a hold whose capacity is free by now. */
std::vector<StepName> FindStepsWithFreeHold(const State& state);

/** True if the task may take capacity that is held for another one and is free
 * by now. */
bool FitsOnHeldCapacity(const State& state, const TaskRef& ref, TimePoint now);

/** True if capacity is held for a task of the step on that worker. */
bool HasHoldOn(const State& state, const StepName& step, int32_t worker);

/** Number of tasks of the step for which capacity is held. */
size_t CountHolds(const State& state, const ReadyKey& key);
size_t CountHolds(const State& state, const StepName& step);

/** The worker's free capacity without what is held for other tasks. A lost
 * long-running task may take what is held for those that wait for a shorter
 * time. */
Resources FreeCapacityFor(const State& state,
                          const WorkerState& worker,
                          const TaskRef& ref,
                          TimePoint now);

/** Ends one hold of the task's step, the one on the worker if there is one; to
 * be called when the task's start there is planned. */
void EndHoldForStart(State& state, const TaskRef& ref, int32_t worker);

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHED_CAPACITY_HOLDS_H_
