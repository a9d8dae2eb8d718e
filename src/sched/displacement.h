#ifndef COWSLIPMAST_SRC_SCHED_DISPLACEMENT_H_
#define COWSLIPMAST_SRC_SCHED_DISPLACEMENT_H_

#include <optional>
#include <vector>

#include "src/sched/state.h"

namespace cowslipmast::sched {

/** Tasks to preempt on a worker so that another one fits there. */
struct Displacement {
  std::vector<TaskRef> tasks;
  /** Processor time, in core-milliseconds, that is lost with their runs. */
  double lost = 0;
};

/** The tasks to stop so that the beneficiary fits on the worker beside what is
 * held, once `freed` is free as well; none if it soon does anyway, nothing if
 * that is not enough. Less urgent
 * tasks go first, then those that lose least. More urgent tasks stay, as do
 * long-running ones, members of gangs, and those that were displaced before. */
std::optional<Displacement> FindDisplacement(const State& state,
                                             const WorkerState& worker,
                                             const TaskRef& beneficiary,
                                             const Resources& freed,
                                             TimePoint now);

/** Stops the tasks of a displacement for the benefit of the task. */
void Displace(State& state,
              const Displacement& displacement,
              const TaskRef& beneficiary);

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHED_DISPLACEMENT_H_
