#ifndef COWSLIPMAST_SRC_SCHED_ASSIGNMENT_H_
#define COWSLIPMAST_SRC_SCHED_ASSIGNMENT_H_

#include "src/sched/state.h"

namespace cowslipmast::sched {

/** Assigns a task to a worker, and reserves what it needs there. */
void AssignToWorker(State& state, const TaskRef& ref, int32_t worker);

/** Removes a task from its worker and releases what it reserved. */
void UnassignTask(State& state, const TaskRef& ref);

/** Sets the number of workers that ended under a task. */
void SetCrashes(State& state, const TaskRef& ref, const CrashCount& crashes);

/** Marks a task for being stopped on its worker; the next plan holds the stop.
 */
void StopTask(State& state, const TaskRef& ref);

/** Unassigns a task whose run is over but not completed: it waits for a worker
 * again, unless its job has ended. `waited` counts as part of its wait. */
void RequeueTask(State& state,
                 const TaskRef& ref,
                 TimePoint now,
                 Duration waited = Duration(0));

/** Requeues a task whose start was not carried out: its wait goes on. */
void RequeueUnstartedTask(State& state, const TaskRef& ref, TimePoint now);

/** Requeues a task whose run is lost. A long-running one has waited since the
 * run was last known to be there. */
void RequeueLostTask(State& state,
                     const TaskRef& ref,
                     std::string_view reason,
                     TimePoint now);

/** Requeues all tasks of a worker on which nothing can run any more. */
void RequeueAllTasks(State& state,
                     int32_t worker,
                     std::string_view reason,
                     TimePoint now);

/** True if the task may be stopped to make room for a long-running one. */
bool IsDisplaceable(const TaskRef& ref);

/** What a task of the step reserves on its worker: a best-effort one reserves
 * memory and accelerators, but no CPU. */
Resources ReservedBy(const StepSpec& spec);

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHED_ASSIGNMENT_H_
