#ifndef COWSLIPMAST_SRC_SCHED_STORED_WAITS_H_
#define COWSLIPMAST_SRC_SCHED_STORED_WAITS_H_

#include <nlohmann/json_fwd.hpp>

#include "src/sched/state.h"

namespace cowslipmast::sched {

/** Long-running tasks of the iteration that have had a run and have none now,
 * as far as this owner knows, each with the time at which it had the last one;
 * part of the iteration's record. The next owner goes on counting their waits.
 */
nlohmann::json EncodeWaits(const State& state, const Iteration& iteration);

/** Restores what `EncodeWaits` returned, after the tasks themselves. */
void ApplyWaits(const State& state,
                Iteration& iteration,
                const nlohmann::json& stored);

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHED_STORED_WAITS_H_
