#ifndef COWSLIPMAST_SRC_SCHED_CRASH_SUSPECTS_H_
#define COWSLIPMAST_SRC_SCHED_CRASH_SUSPECTS_H_

#include <string_view>

#include "src/sched/state.h"

namespace cowslipmast::sched {

// A task may crash each worker that starts it. All tasks that run on a worker
// when its instance ends are suspects. They are then spread over the workers,
// so that the next end shows which of them is guilty, and a task that the
// evidence points at is given up.

/** The worker's instance has ended: forgets it, requeues its tasks, counts the
 * end against them, and gives up those that are guilty. */
void HandleEndedInstance(State& state,
                         int32_t worker,
                         std::string_view reason,
                         TimePoint now);

/** As `HandleEndedInstance`, for tasks that a previous owner started on an
 * earlier instance than the one that answers. */
void HandleTasksOfEarlierInstance(State& state,
                                  int32_t worker,
                                  int64_t start_time_ms,
                                  TimePoint now);

/** The lease of an unreachable worker has expired: requeues its tasks. Whether
 * the worker crashed or is only partitioned is known once it answers. */
void HandleExpiredLease(State& state, int32_t worker, TimePoint now);

/** The worker answers after its lease had expired: counts the end of the
 * instance that it had then if it is another one now. */
void ResolveSilentEnds(State& state,
                       int32_t worker,
                       int64_t start_time_ms,
                       TimePoint now);

/** Clears tasks that have run long enough without a crash of their worker. */
void ClearSurvivors(State& state, int32_t worker, TimePoint now);

/** The worker has the run: stores that for a task under which workers have
 * ended. */
void ConfirmStart(State& state, const TaskRef& ref);

/** The worker's entry is new: an instance that leaves as planned is not counted
 * as crashed, nor is it by a later owner. */
void HandleEntry(State& state, int32_t worker);

/** A run has ended on a worker that goes on: clears its task. */
void ClearSuspicion(State& state, const TaskRef& ref);

/** Ends the wait for answers that did not come in time, and gives up a task
 * that was held back for them. */
void EndWaitForLateProofs(State& state, TimePoint now);

/** True while a start of the task must wait: workers have ended under it, and
 * with those that fell silent at its start they may be as many as a task may
 * crash. */
bool IsHeldBack(const State& state, const TaskRef& ref);

/** True if a worker has ended under the task since it was last cleared. */
bool IsSuspect(const Task& task);

/** Penalty on the score of a worker for a task, 0 if no suspect is involved.
 * Spreads suspects, and keeps other tasks off their workers. */
double IsolationPenalty(const WorkerState& worker, const Task& task);

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHED_CRASH_SUSPECTS_H_
