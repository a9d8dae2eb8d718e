#ifndef COWSLIPMAST_SRC_SCHED_PROGRESS_H_
#define COWSLIPMAST_SRC_SCHED_PROGRESS_H_

#include <string>

#include "src/sched/state.h"

namespace cowslipmast::sched {

/** Key of an iteration's record. */
std::string ProgressKey(const JobId& id, uint32_t iteration);

/** Encodes which workers have an iteration's tasks, and which tasks are done.
 * Leaves the checkpoints out if the store would refuse the record for its size:
 * the tasks would then start from the beginning under another owner. */
ProgressRecord EncodeProgress(const State& state, const Iteration& iteration);

/** Restores a stored record. Returns false if it cannot be read, or if its job
 * is unknown or has other steps. */
bool ApplyProgress(State& state, const ProgressRecord& record);

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHED_PROGRESS_H_
