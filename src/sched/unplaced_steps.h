#ifndef COWSLIPMAST_SRC_SCHED_UNPLACED_STEPS_H_
#define COWSLIPMAST_SRC_SCHED_UNPLACED_STEPS_H_

#include <vector>

#include "src/sched/state.h"
#include "src/sched/worker_score.h"

namespace cowslipmast::sched {

/** Steps that could not be placed in the current plan. */
class UnplacedSteps {
 public:
  /** For the task, workers were looked at, and none found. A step for which
   * none were looked at says nothing of others. */
  void Add(const State& state, const TaskRef& ref, TimePoint now);
  /** True if the step cannot be placed either: a task without a worker, of the
   * same service and class, needs no more, and may go wherever this step may.
   */
  bool RulesOut(const State& state, const ReadyKey& key, TimePoint now) const;

 private:
  struct Requirements {
    ServiceId service;
    uint32_t priority = 0;  // a more urgent task may go where a probe runs
    Resources need;
    ImageIndex image = 0;  // of best-effort steps
    bool best_effort = false;
    bool restricted = false;           // may go to some workers only
    bool overdue = false;              // may go to untrusted workers as well
    bool last_attempt = false;         // needs a worker without failures
    bool leaves_reserve = false;       // leaves capacity to short work
    bool is_new_long_running = false;  // leaves places to those that had runs
    OpportunisticLimits opportunistic;
  };
  static Requirements RequirementsOf(const State& state,
                                     const TaskRef& ref,
                                     bool last_attempt,
                                     TimePoint now);

  std::vector<Requirements> m_requirements;
};

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHED_UNPLACED_STEPS_H_
