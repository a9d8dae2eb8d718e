#ifndef COWSLIPMAST_SRC_SCHED_PACING_H_
#define COWSLIPMAST_SRC_SCHED_PACING_H_

#include "src/sched/state.h"

namespace cowslipmast::sched {

/** Updates the interference model from a worker's latest listing, and sets the
 * target pace of the worker's best-effort tasks.
 *
 * How much a best-effort task interferes with a latency-critical one depends on
 * the pair of images, is not known beforehand and changes within seconds. Only
 * images that interfere with a task near its latency target are slowed down,
 * and only as far as that task's current utilisation requires. If the model
 * does not explain a tail latency over the target, all best-effort tasks of the
 * worker are slowed down. */
void PaceBestEffortTasks(State& state, int32_t worker);

/** Opportunistic tasks that could start at full pace now count as normal ones.
 * To be called before a listing is applied: waiting work goes first where tasks
 * have just ended. */
void PromoteOpportunisticTasks(State& state, int32_t worker);

/** Sets the target paces of the worker's best-effort tasks, after one was
 * placed there. */
void SetTargetPaces(State& state, int32_t worker);

/** A run with a lower pace is paused: it need not show progress. */
inline constexpr uint32_t kMinPaceOfProgress = 20;

/** True if a run's pace is too far from its target pace. */
bool NeedsPaceCommand(const Task& task);

/** Adds a command for each run whose pace is too far from its target pace. */
void PlanPaces(State& state, TimePoint now, Plan& plan);

/** True if the worker has both latency-critical and best-effort tasks. */
bool RunsBothTaskClasses(const WorkerState& worker);

/** Best-effort tasks that another one leaves their pace. */
enum class PacePriority {
  kNormal,         // all but opportunistic ones
  kOpportunistic,  // all
};

/** Least headroom, as utilisation, that another best-effort task of `cpu` would
 * leave to the latency-critical tasks that it interferes with, while the tasks
 * that it leaves their pace run at full pace; `kAmpleHeadroom` if it interferes
 * with none. */
double HeadroomBeside(const State& state,
                      const WorkerState& worker,
                      ImageIndex best_effort,
                      MilliCores cpu,
                      PacePriority priority);
inline constexpr double kAmpleHeadroom = 0.3;

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHED_PACING_H_
