#ifndef COWSLIPMAST_SRC_SCHED_RESERVATIONS_H_
#define COWSLIPMAST_SRC_SCHED_RESERVATIONS_H_

#include "src/sched/state.h"

namespace cowslipmast::sched {

/** Drops reservations whose step waits no more, whose worker may not be used
 * any more or whose expectation has failed, and renews the others. */
void ReviewReservations(State& state, TimePoint now);

/** Reserves the workers where a step is expected to fit first: one for a task,
 * or for all members of a gang. Does nothing for a step that is small, has
 * waited briefly or has a reservation. Returns true if it looked at workers. */
bool ReserveForStep(State& state, const ReadyKey& key, TimePoint now);

/** The reservation that keeps the task off the worker, or null. A task passes
 * that comes first in order, is expected to end in time, or fits beside it. */
const Reservation* FindBlockingReservation(const State& state,
                                           const WorkerState& worker,
                                           const TaskRef& ref,
                                           TimePoint now);

/** Accounts for the start of a task; to be called before it is assigned. */
void UpdateReservationsForStart(State& state,
                                const TaskRef& ref,
                                int32_t worker,
                                TimePoint now);

/** Learns from a run that has completed on the task's worker. */
void LearnRunTime(State& state, const TaskRef& ref, TimePoint now);

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHED_RESERVATIONS_H_
