#ifndef COWSLIPMAST_SRC_SCHED_TASK_PLACEMENT_H_
#define COWSLIPMAST_SRC_SCHED_TASK_PLACEMENT_H_

#include <optional>
#include <string>
#include <vector>

#include "src/sched/state.h"
#include "src/sched/worker_score.h"

namespace cowslipmast::sched {

/** Best worker for a task, or `kNoWorker`.
 *
 * Meant for load near capacity. Tasks that count against capacity go by the
 * share of a worker that is reserved; long-running ones together leave a part
 * of the capacity to short work that arrives later. Best-effort tasks go where
 * most processor time is idle, and wait rather than divide it so finely that
 * all of them are late. */
int32_t FindWorkerForTask(const State& state,
                          const TaskRef& ref,
                          TimePoint now);

/** As `FindWorkerForTask`, and failing that the best worker for an
 * opportunistic start. */
int32_t FindWorkerOrOpportunity(const State& state,
                                const TaskRef& ref,
                                TimePoint now);

/** Workers of a task's service that pass each condition for its placement and
 * all conditions before it. */
struct PlacementConditions {
  uint32_t listed = 0;
  uint32_t eligible = 0;
  uint32_t suitable = 0;  // by label and by tasks of the step that run there
  uint32_t with_capacity = 0;
  uint32_t trusted = 0;
  uint32_t with_idle_time = 0;  // of best-effort tasks only
  uint32_t with_headroom = 0;   // of best-effort tasks only
  /** Of a best-effort task, on the workers with idle time. */
  std::optional<double> best_headroom;
  uint32_t with_unused_time = 0;  // for an opportunistic start
  uint32_t leaving_memory = 0;    // after an opportunistic start
  OpportunisticLimits opportunistic;
  /** A step for which a worker is reserved that passes all conditions. */
  std::optional<StepName> held_back_by;
  /** The task leaves the remaining capacity to short work. */
  bool waits_for_reserve = false;
};

PlacementConditions CheckPlacement(const State& state,
                                   const TaskRef& ref,
                                   TimePoint now);

/** Waiting steps whose next task has lost its run and is overdue, in order. */
std::vector<ReadyKey> FindLostSteps(const State& state, TimePoint now);

/** True if the worker has the label, or none is asked for. */
bool HasLabel(const WorkerState& worker, const std::string& label);

/** True if only the worker's free capacity, its reservations and what the
 * service as a whole has left may keep the task off it. */
bool MayRunOn(const State& state,
              const WorkerState& worker,
              const TaskRef& ref,
              TimePoint now);

/** Assigns the task, which is no longer among the ready ones of its step, to
 * the worker, and adds its start to the plan. */
void PlanStart(State& state,
               const TaskRef& ref,
               int32_t worker,
               TimePoint now,
               Plan& plan);

/** Assigns waiting tasks to workers, in order, and adds their starts to the
 * plan. */
void PlaceReadyTasks(State& state, TimePoint now, Plan& plan);

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHED_TASK_PLACEMENT_H_
