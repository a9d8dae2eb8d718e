#ifndef COWSLIPMAST_SRC_SCHED_LEASE_H_
#define COWSLIPMAST_SRC_SCHED_LEASE_H_

#include <optional>

#include "src/sched/state.h"

namespace cowslipmast::sched {

/** Lease end, on the worker's clock, for a command that is sent now. Notes it,
 * so that the time when all leases are over stays an upper bound. */
std::optional<WorkerClock> ExtendLease(const SchedulerOptions& options,
                                       Worker& worker,
                                       TimePoint now);

/** Takes in a reading of the worker's clock. */
void ReadClock(const SchedulerOptions& options,
               Worker& worker,
               WorkerClock clock,
               TimePoint now);

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHED_LEASE_H_
