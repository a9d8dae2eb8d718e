#ifndef COWSLIPMAST_SRC_SCHED_UNHEARD_WORKERS_H_
#define COWSLIPMAST_SRC_SCHED_UNHEARD_WORKERS_H_

#include "src/sched/state.h"

namespace cowslipmast::sched {

/** Takes workers for unreachable that have answered nothing for 12 s although
 * nobody has told so. To be called in each plan. */
void FindUnheardWorkers(State& state, TimePoint now);

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHED_UNHEARD_WORKERS_H_
