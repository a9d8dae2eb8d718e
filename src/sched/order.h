#ifndef COWSLIPMAST_SRC_SCHED_ORDER_H_
#define COWSLIPMAST_SRC_SCHED_ORDER_H_

#include <chrono>

#include "src/sched/state.h"

namespace cowslipmast::sched {

/** Half of the 3 s within which a long-running task must have a worker. */
inline constexpr Duration kLongRunningOverdueAfter =
    std::chrono::milliseconds(1500);

/** Order within a priority. */
enum class ReadyRank : uint8_t {
  kOverdue,  // long-running tasks, and late work that has a turn
  kStarted,  // on time, with work that is running or done
  kOnTime,
  kLate,
  kLongRunning,
};

/** Position of a waiting step in the queue.
 *
 * Meant for bursts of more work than capacity that last for seconds. Within a
 * priority, steps that can still meet their objective go before steps that
 * cannot, so that a burst makes some jobs late instead of all. Long-running
 * tasks come last, because they never release their worker while short work
 * soon does. Equal steps go in order of arrival.
 *
 * With `overload_order` a job that has started goes first, by the time at which
 * its step must start. Of the others that can meet their objective the newest
 * goes first: in order of arrival each job of an overload would start when its
 * objective is almost over, and any delay would make it late. */
ReadyKey MakeReadyKey(const State& state,
                      Iteration& iteration,
                      uint32_t step,
                      TimePoint now);

/** Time by which an iteration must end to meet its queue's objective. */
TimePoint ObjectiveOf(const State& state, const Iteration& iteration);

/** True if a long-running task has waited for so long that it may go to any
 * worker with enough capacity: it must not be without a worker for 3 s. */
bool IsOverdue(const StepSpec& spec, const Task& task, TimePoint now);

/** True if the task had a worker before, as far as its run number tells: a move
 * to another cell raises it, too. */
bool HasLostWorker(const Task& task);

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHED_ORDER_H_
