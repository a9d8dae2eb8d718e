#ifndef COWSLIPMAST_SRC_SCHED_ORDER_H_
#define COWSLIPMAST_SRC_SCHED_ORDER_H_

#include "src/sched/state.h"

namespace cowslipmast::sched {

/** Position of a waiting step in the queue.
 *
 * Meant for bursts of more work than capacity that last for seconds. Within a
 * priority, steps that can still meet their objective go before steps that
 * cannot, so that a burst makes some jobs late instead of all. Long-running
 * tasks come last, because they never release their worker while short work
 * soon does. Equal steps go in order of arrival. */
ReadyKey MakeReadyKey(const State& state,
                      Iteration& iteration,
                      uint32_t step,
                      TimePoint now);

/** Time by which an iteration must end to meet its queue's objective. */
TimePoint ObjectiveOf(const State& state, const Iteration& iteration);

/** True if a long-running task has waited for so long that it may go to any
 * worker with enough capacity: it must not be without a worker for 3 s. */
bool IsOverdue(const StepSpec& spec, const Task& task, TimePoint now);

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHED_ORDER_H_
