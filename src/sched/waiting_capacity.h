#ifndef COWSLIPMAST_SRC_SCHED_WAITING_CAPACITY_H_
#define COWSLIPMAST_SRC_SCHED_WAITING_CAPACITY_H_

#include <string>

#include "src/sched/state.h"

namespace cowslipmast::sched {

/** For the log: the largest free capacity that this cell and the others know of
 * for a waiting task, what holds the capacity of the worker that could make
 * room for it, and on how many workers it would fit without some of that. */
std::string DescribeCapacityFor(const State& state,
                                const TaskRef& ref,
                                TimePoint now);

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHED_WAITING_CAPACITY_H_
