#ifndef COWSLIPMAST_SRC_SCHED_ORDER_H_
#define COWSLIPMAST_SRC_SCHED_ORDER_H_

#include "src/sched/state.h"

namespace cowslipmast::sched {

/** Where a waiting step stands in line.
 *
 * Answers the load of a burst: more work than capacity for seconds. Within a
 * priority, work that can still meet its objective goes before work that
 * cannot, so that a burst makes some jobs late instead of all. Lasting tasks
 * come last: they keep their place for as long as they get one, while short
 * work gives it back soon. Equal steps go in the order of arrival. */
ReadyKey MakeReadyKey(const State& state,
                      Iteration& iteration,
                      uint32_t step,
                      TimePoint now);

/** Time by which an iteration meets its queue's objective. */
TimePoint ObjectiveOf(const State& state, const Iteration& iteration);

/** True if a lasting task has waited for so long that it goes wherever there
 * is room: it must not stay without a place for 3 s then. */
bool IsOverdue(const StepSpec& spec, const Task& task, TimePoint now);

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHED_ORDER_H_
