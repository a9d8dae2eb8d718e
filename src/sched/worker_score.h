#ifndef COWSLIPMAST_SRC_SCHED_WORKER_SCORE_H_
#define COWSLIPMAST_SRC_SCHED_WORKER_SCORE_H_

#include <optional>

#include "src/sched/state.h"

namespace cowslipmast::sched {

/** True if a best-effort task has waited for so long without any run of its job
 * that it may start opportunistically; a long-running one without its own. */
bool HasWaitedWithoutRun(const TaskRef& ref, TimePoint now);

/** Where a best-effort task may start opportunistically. */
struct OpportunisticLimits {
  /** Opportunistic tasks that a worker may have with this one; 0 if it may not
   * start opportunistically. */
  uint32_t max_tasks = 0;
  /** The task waits for a worker with unused processor time on which it leaves
   * memory to others. */
  bool needs_room = true;

  bool operator==(const OpportunisticLimits&) const = default;
};

/** A task may start opportunistically when its job has had no run for seconds:
 * where all workers have latency-critical tasks, it may fit beside none at full
 * pace. Each task that is long-running must have a run, and each job while most
 * of the service is free, whatever best-effort tasks use on each worker. */
OpportunisticLimits OpportunisticLimitsOf(const State& state,
                                          const TaskRef& ref,
                                          TimePoint now);

/** As above for a start in the order of all waiting work, in which short tasks
 * do not start opportunistically; see `StartJobsWithoutRun`. */
OpportunisticLimits OpportunisticLimitsInOrder(const State& state,
                                               const TaskRef& ref,
                                               TimePoint now);

/** Under load opportunistic starts have a minimum interval, which begins anew.
 */
void NoteOpportunisticStart(State& state, TimePoint now);

/** Score of a worker for a task, larger is better; nothing if the task should
 * not go there now. Any opportunistic start has a lower score than any other.
 */
std::optional<double> ScoreOf(const State& state,
                              const WorkerState& worker,
                              const TaskRef& ref,
                              OpportunisticLimits opportunistic);

/** Conditions for a best-effort task on a worker that has memory for it. The
 * headroom is not calculated without idle time. */
struct BestEffortConditions {
  bool has_idle_time = false;
  double headroom = 0;  // see `HeadroomBeside`
  bool has_headroom = false;
};

BestEffortConditions CheckBestEffort(const State& state,
                                     const WorkerState& worker,
                                     const TaskRef& ref);

/** What keeps a best-effort task from an opportunistic start on a worker that
 * has capacity for it. */
struct OpportunisticConditions {
  /** Processor time in millicores that opportunistic tasks, with this one at
   * full pace, would leave unused; below 0 if they would run more slowly. */
  double unused = 0;
  bool has_unused_time = false;
  bool leaves_memory = false;
};

OpportunisticConditions CheckOpportunistic(const WorkerState& worker,
                                           const StepSpec& spec);

/** Shares of a service's capacity that tasks reserve, from 0 to 1. Best-effort
 * tasks reserve memory only. */
struct ReservedShares {
  double processors = 0;
  double memory = 0;
};

ReservedShares ReservedSharesOf(const State& state, const ServiceId& service);

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHED_WORKER_SCORE_H_
