#ifndef COWSLIPMAST_SRC_SCHED_WORKER_SCORE_H_
#define COWSLIPMAST_SRC_SCHED_WORKER_SCORE_H_

#include <optional>

#include "src/sched/state.h"

namespace cowslipmast::sched {

/** True if a best-effort task may start opportunistically: where all workers
 * have latency-critical tasks, it may fit beside none at full pace, and its job
 * would have no run at all. */
bool MayStartOpportunistically(const TaskRef& ref, TimePoint now);

/** Score of a worker for a task, larger is better; nothing if the task should
 * not go there now. Any opportunistic start has a lower score than any other.
 */
std::optional<double> ScoreOf(const State& state,
                              const WorkerState& worker,
                              const TaskRef& ref,
                              bool may_be_opportunistic);

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

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHED_WORKER_SCORE_H_
