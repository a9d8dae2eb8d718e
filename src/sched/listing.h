#ifndef COWSLIPMAST_SRC_SCHED_LISTING_H_
#define COWSLIPMAST_SRC_SCHED_LISTING_H_

#include "src/sched/state.h"

namespace cowslipmast::sched {

/** Compares a worker's own list, asked for at `asked`, with the state. */
void ApplyListing(State& state,
                  int32_t worker,
                  const WorkerListing& listing,
                  TimePoint asked,
                  TimePoint now);

/** Frees the tasks of silent workers whose leases are over. */
void ReturnLapsedTasks(State& state, TimePoint now);

/** Stops runs that make no progress, so that they start again elsewhere.
 *
 * Answers workers on which tasks stand still while the worker answers. */
void StopStalledTasks(State& state, int32_t worker, TimePoint now);

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHED_LISTING_H_
