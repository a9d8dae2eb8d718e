#ifndef COWSLIPMAST_SRC_SCHED_WORKERS_H_
#define COWSLIPMAST_SRC_SCHED_WORKERS_H_

#include "src/sched/state.h"

namespace cowslipmast::sched {

/** Index of a worker. Adds an entry for an unknown one, since a stored record
 * may name a worker before the platform lists it. */
int32_t GetOrCreateWorkerIndex(State& state, const WorkerId& id);

/** Index of a known worker, or `kNoWorker`. */
int32_t FindWorkerIndex(const State& state, const WorkerId& id);

/** A known worker, or null; valid until the next worker is added. */
WorkerState* FindWorkerState(State& state, const WorkerId& id);

/** The instance of the worker that answered last. */
WorkerInstance CurrentInstance(const WorkerState& worker);

/** Capacity that neither tasks nor other listed runs use; below 0 in a worker
 * that has become smaller. */
Resources FreeCapacity(const WorkerState& worker);

/** `millicores` as a share of the worker's processors. */
double CpuShare(const WorkerState& worker, double millicores);

/** Processor time in millicores that is left to best-effort tasks. */
double MillicoresForBestEffort(const WorkerState& worker);

/** Processor time in millicores that neither reserving nor best-effort tasks
 * are expected to use. Long-running tasks use the part of their reservation
 * that their current utilisation gives. A slowed-down task counts with all of
 * its need, which it uses again once it may; an opportunistic one, which leaves
 * others their processor time, does not count. */
double IdleMillicores(const WorkerState& worker);

/** A best-effort task starts where at least this share of its CPU need is idle.
 */
inline constexpr double kMinIdleShareOfNeed = 0.6;

/** True if a best-effort task may start at full pace, as far as idle processor
 * time is concerned. */
bool HasIdleTimeFor(const WorkerState& worker, const StepSpec& spec);

/** Processor time in millicores that opportunistic tasks share: what all others
 * leave at their current paces. */
double MillicoresForOpportunistic(const WorkerState& worker);

/** Processor time in millicores that the worker's opportunistic tasks would use
 * at full pace. */
double OpportunisticNeed(const WorkerState& worker);

/** Whether a worker may get new tasks, or why not. */
enum class WorkerEligibility {
  kEligible,
  kNotListed,
  kNotReachable,
  kDraining,
  kEvacuated,
  kOtherInstance,  // the platform lists another instance than the one it is
  kFull,           // it refused a start for lack of capacity a moment ago
};

WorkerEligibility EligibilityOf(const State& state,
                                const WorkerState& worker,
                                TimePoint now);

/** Moves opportunistic tasks that have been paused for seconds to workers where
 * they run at full pace. To be called after a plan has placed what waits. */
void StopPausedTasks(State& state, TimePoint now);

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHED_WORKERS_H_
