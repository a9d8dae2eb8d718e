#ifndef COWSLIPMAST_SRC_SCHED_DUMP_H_
#define COWSLIPMAST_SRC_SCHED_DUMP_H_

#include <string>

#include "src/sched/state.h"

namespace cowslipmast::sched {

/** Tasks of a worker as last listed, as JSON on one line. */
std::string DescribeTasks(const WorkerState& worker);

/** The state as indented JSON, for people. */
std::string DumpState(const State& state, TimePoint now);

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHED_DUMP_H_
