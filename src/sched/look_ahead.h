#ifndef COWSLIPMAST_SRC_SCHED_LOOK_AHEAD_H_
#define COWSLIPMAST_SRC_SCHED_LOOK_AHEAD_H_

#include <cstdint>
#include <map>
#include <vector>

#include "cowslipmast/units.h"
#include "src/sched/run_estimates.h"

namespace cowslipmast::sched {

/** One step of one iteration of a job. */
struct StepName {
  JobId job;
  uint32_t iteration = 0;
  uint32_t step = 0;

  auto operator<=>(const StepName&) const = default;
};

/** Capacity of one worker that is kept for a waiting step. */
struct Reservation {
  StepName step;
  int32_t worker = -1;  // index into `State::workers`
  Resources need;       // of all its tasks that are to start there
  /** Order of the step when the reservation was made: being late must not cost
   * it its place. */
  uint32_t priority = 0;
  uint32_t rank = 0;
  TimePoint expected_start;
  /** The expectation has failed if the step has not started by then. */
  TimePoint ends_at;
  /** What other tasks may still use beyond the expected start. */
  Resources surplus;
};

/** Capacity of one worker that only an overdue long-running task of one step
 * may take. */
struct CapacityHold {
  StepName step;
  int32_t worker = -1;  // index into `State::workers`
  Resources need;
  uint32_t priority = 0;
  /** Lost tasks that have waited for longer are not kept off. */
  TimePoint waiting_since;
  TimePoint since;
};

/** Capacity that is held in the cell; a new owner starts without. */
struct CapacityHolds {
  std::vector<CapacityHold> holds;
  /** Steps for which no worker is looked for before that time. */
  std::map<StepName, TimePoint> search_at;
};

/** What placement knows of the near future; learned again by a new owner. */
struct LookAhead {
  RunEstimates estimates;
  std::vector<Reservation> reservations;
  /** Steps that get no reservation before that time. */
  std::map<StepName, TimePoint> retry_at;
  size_t next_worker = 0;  // where the next search begins
};

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHED_LOOK_AHEAD_H_
