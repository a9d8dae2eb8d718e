#ifndef COWSLIPMAST_SRC_SCHEDULER_PROCESS_PLAN_PAUSE_H_
#define COWSLIPMAST_SRC_SCHEDULER_PROCESS_PLAN_PAUSE_H_

#include <algorithm>
#include <chrono>

#include "cowslipmast/units.h"

namespace cowslipmast::sched {

/** Pause between two plans, in which events accumulate: each plan costs an
 * append. */
constexpr Duration kPlanPause = std::chrono::milliseconds(15);
/** After a plan that took longer than this, the pause is as long as the plan,
 * so that an owner that is short of processor time still handles responses and
 * requests. */
constexpr Duration kLongPlan = std::chrono::milliseconds(100);
constexpr Duration kMaxPlanPause = std::chrono::milliseconds(300);
/** Lets other coroutines run between two plans. */
constexpr Duration kMinPlanPause = std::chrono::milliseconds(1);

/** Returns how long after a plan was stored the next one may begin. `awaited`:
 * capacity has come free for which a long-running task waits; it is unused
 * until the next plan. */
inline Duration PauseAfterPlan(Duration plan_took, bool awaited) {
  if (plan_took > kLongPlan)
    return std::min(plan_took, kMaxPlanPause);
  return awaited ? kMinPlanPause : kPlanPause;
}

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHEDULER_PROCESS_PLAN_PAUSE_H_
