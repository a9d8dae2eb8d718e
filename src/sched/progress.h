#ifndef COWSLIPMAST_SRC_SCHED_PROGRESS_H_
#define COWSLIPMAST_SRC_SCHED_PROGRESS_H_

#include <string>

#include "src/sched/state.h"

namespace cowslipmast::sched {

/** Key of an iteration's record. */
std::string ProgressKey(const JobId& id, uint32_t iteration);

/** Record of where an iteration's tasks are and what has ended. */
ProgressRecord EncodeProgress(const State& state, const Iteration& iteration);

/** Takes a stored record in. False if it cannot be read, or names a job that
 * is not known or has another shape. */
bool ApplyProgress(State& state, const ProgressRecord& record);

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHED_PROGRESS_H_
