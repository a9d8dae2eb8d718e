#ifndef COWSLIPMAST_SRC_SCHED_ENDS_H_
#define COWSLIPMAST_SRC_SCHED_ENDS_H_

#include "src/sched/state.h"

namespace cowslipmast::sched {

/** Takes in the end of a run that a worker lists. Ends of runs that the state
 * does not know are ignored: a later owner or run has taken their place. */
void ApplyEnd(State& state,
              int32_t worker,
              const EndedTask& ended,
              TimePoint now);

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHED_ENDS_H_
