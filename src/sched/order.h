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
  kLost,     // overdue long-running tasks that have had a run
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
 * soon does, until they are overdue: then first those that had a run, and both
 * kinds by the time for which they have had none. Equal steps go in order of
 * arrival.
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

/** True if an overdue long-running task has had a run. */
bool IsLost(const StepSpec& spec, const Task& task, TimePoint now);

/** Orders the step's ready tasks: lost ones are placed first, and of both kinds
 * those that have waited longest. */
void OrderReadyTasks(const StepSpec& spec, StepState& step, TimePoint now);

/** True if `Task::ready_since` is known: an owner that has restored the task
 * may not know it. */
bool IsWaitKnown(const Task& task);

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHED_ORDER_H_
