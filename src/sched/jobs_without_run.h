#ifndef COWSLIPMAST_SRC_SCHED_JOBS_WITHOUT_RUN_H_
#define COWSLIPMAST_SRC_SCHED_JOBS_WITHOUT_RUN_H_

#include "src/sched/state.h"

namespace cowslipmast::sched {

/** Starts a task of each best-effort job that has had no run for too long, as
 * far as `OpportunisticLimitsOf` permits, the job that has waited longest
 * first. In the order of all waiting work, in which late jobs come last, these
 * starts would go to jobs that have waited for a moment. To be called after
 * that order has been gone through. */
void StartJobsWithoutRun(State& state, TimePoint now, Plan& plan);

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHED_JOBS_WITHOUT_RUN_H_
