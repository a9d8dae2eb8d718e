#ifndef COWSLIPMAST_SRC_SCHED_UNPLACED_STEPS_H_
#define COWSLIPMAST_SRC_SCHED_UNPLACED_STEPS_H_

#include <vector>

#include "src/sched/state.h"
#include "src/sched/worker_score.h"

namespace cowslipmast::sched {

/** Steps that could not be placed in the current plan. */
class UnplacedSteps {
 public:
  void Add(const State& state, const ReadyKey& key, TimePoint now);
  /** True if the step cannot be placed either: an unplaced step of the same
   * service and class needs no more, and may go wherever this one may. */
  bool RulesOut(const State& state, const ReadyKey& key, TimePoint now) const;

 private:
  struct Requirements {
    ServiceId service;
    Resources need;
    ImageIndex image = 0;  // of best-effort steps
    bool best_effort = false;
    bool restricted = false;      // may go to some workers only
    bool overdue = false;         // may go to untrusted workers as well
    bool last_attempt = false;    // needs a worker without failures
    bool leaves_reserve = false;  // leaves capacity to short work
    OpportunisticLimits opportunistic;
  };
  static Requirements RequirementsOf(const State& state,
                                     const ReadyKey& key,
                                     TimePoint now);

  std::vector<Requirements> m_requirements;
};

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHED_UNPLACED_STEPS_H_
