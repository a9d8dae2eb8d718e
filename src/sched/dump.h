#ifndef COWSLIPMAST_SRC_SCHED_DUMP_H_
#define COWSLIPMAST_SRC_SCHED_DUMP_H_

#include <string>

#include "src/sched/state.h"

namespace cowslipmast::sched {

/** What runs on a worker as it was last listed, as JSON text on one line. */
std::string DescribeTasks(const Worker& worker);

/** The state as indented JSON text, for people. */
std::string DumpState(const State& state, TimePoint now);

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHED_DUMP_H_
