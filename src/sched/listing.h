#ifndef COWSLIPMAST_SRC_SCHED_LISTING_H_
#define COWSLIPMAST_SRC_SCHED_LISTING_H_

#include "src/sched/state.h"

namespace cowslipmast::sched {

/** Reconciles the state with a worker's listing that was requested at `asked`.
 */
void ApplyListing(State& state,
                  int32_t worker,
                  const WorkerListing& listing,
                  TimePoint asked,
                  TimePoint now);

/** Requeues the tasks of unreachable workers whose leases have expired. */
void RequeueTasksOfExpiredLeases(State& state, TimePoint now);

/** Stops runs that make no progress although their worker answers, so that they
 * start again elsewhere. */
void StopStalledTasks(State& state, int32_t worker, TimePoint now);

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHED_LISTING_H_
