#ifndef COWSLIPMAST_SRC_SCHED_LEASE_H_
#define COWSLIPMAST_SRC_SCHED_LEASE_H_

#include <optional>

#include "src/sched/state.h"

namespace cowslipmast::sched {

/** Returns the lease end, on the worker's clock, for a command that is sent
 * now; nothing if the worker's clock is not known yet. Updates
 * `WorkerState::lease_expiry`, which must remain an upper bound. */
std::optional<WorkerClock> ExtendLease(const SchedulerOptions& options,
                                       WorkerState& worker,
                                       TimePoint now);

/** Applies a reading of the worker's clock that was received at `now`. */
void UpdateClock(const SchedulerOptions& options,
                 WorkerState& worker,
                 WorkerClock clock,
                 TimePoint now);

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHED_LEASE_H_
