#ifndef COWSLIPMAST_SRC_SCHED_OVERLOAD_ORDER_H_
#define COWSLIPMAST_SRC_SCHED_OVERLOAD_ORDER_H_

#include <cstdint>

#include "src/sched/state.h"

namespace cowslipmast::sched {

/** What decides the place of a waiting step of short work. */
struct StepOutlook {
  /** Estimated run time and number of steps of the longest chain that starts
   * with the step. */
  Duration remaining_path{0};
  uint32_t remaining_steps = 1;
  /** Until the job's objective; negative after it. */
  Duration until_objective{0};
  /** Part of the job's work is running or done. */
  bool is_started = false;
};

enum class OverloadClass : uint8_t { kStarted, kOnTime, kLate };

/** Class of a step while there is more work than capacity. A step that would
 * end just after its objective uses capacity with which another job would be in
 * time, so one without time for the delays of its starts counts as late. */
OverloadClass ClassifyStep(const StepOutlook& outlook);

/** Time that a step may wait and still meet the objective. */
Duration Laxity(const StepOutlook& outlook);

/** Gives the job that is late and has waited longest a turn before other work
 * of its priority, if it has waited for several times as long as its objective
 * allows and no other had a turn shortly before. */
void GiveTurnToLateWork(State& state, TimePoint now);

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHED_OVERLOAD_ORDER_H_
