#ifndef COWSLIPMAST_SRC_SCHED_RESIDENCE_H_
#define COWSLIPMAST_SRC_SCHED_RESIDENCE_H_

#include "src/sched/state.h"

namespace cowslipmast::sched {

/** Gives a task a place: reserves what it needs there. */
void OccupyWorker(State& state, const TaskRef& ref, int32_t worker);

/** Takes a task off its worker and releases what it reserved. */
void VacateWorker(State& state, const TaskRef& ref);

/** Wants a task that has a place to be stopped there. */
void StopTask(State& state, const TaskRef& ref);

/** A task's run is over without being done: it waits for a place again, or
 * nothing more happens if its job has ended. */
void ReturnTask(State& state, const TaskRef& ref, TimePoint now);

/** Returns all tasks of a worker on which nothing can run any more. */
void ReturnAllTasks(State& state,
                    int32_t worker,
                    std::string_view why,
                    TimePoint now);

/** What a task of the step reserves on its worker: one that fills takes memory
 * and accelerators, but no reserved processor. */
Resources ReservedBy(const StepSpec& spec);

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHED_RESIDENCE_H_
