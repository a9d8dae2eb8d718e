#ifndef COWSLIPMAST_SRC_SCHED_WORKERS_H_
#define COWSLIPMAST_SRC_SCHED_WORKERS_H_

#include "src/sched/state.h"

namespace cowslipmast::sched {

/** Index of a worker; makes an entry for one that is not known yet, since a
 * stored record may name a worker before the platform's list does. */
int32_t WorkerIndex(State& state, const WorkerId& id);

/** Index of a known worker, or kNowhere. */
int32_t FindWorker(const State& state, const WorkerId& id);

/** A known worker, or null; valid until the next worker becomes known. */
Worker* LookUpWorker(State& state, const WorkerId& id);

/** Share of the worker's processors that `millicores` are. */
double ShareOf(const Worker& worker, double millicores);

/** Why a worker may get no new task. */
enum class WorkerBar {
  kNone,
  kNotListed,
  kNoContact,
  kDraining,
  kEvacuated,
  kFull,  // it refused a start for want of room a moment ago
};

WorkerBar BarOf(const State& state, const Worker& worker, TimePoint now);

/** Moves work off workers that leave: each task that can be started again
 * elsewhere is stopped while its worker still stores its checkpoint. */
void StopTasksOfLeavingWorkers(State& state, TimePoint now);

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHED_WORKERS_H_
