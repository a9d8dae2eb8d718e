#ifndef COWSLIPMAST_SRC_SCHED_RUN_OUTCOME_H_
#define COWSLIPMAST_SRC_SCHED_RUN_OUTCOME_H_

#include "src/sched/state.h"

namespace cowslipmast::sched {

/** Applies the outcome of a run that a worker lists. Outcomes of unknown runs
 * are ignored: a later owner or run has replaced them. */
void ApplyRunOutcome(State& state,
                     int32_t worker,
                     const EndedRun& ended,
                     TimePoint now);

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHED_RUN_OUTCOME_H_
