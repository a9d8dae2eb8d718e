#ifndef COWSLIPMAST_SRC_SCHED_WORKER_SCORE_H_
#define COWSLIPMAST_SRC_SCHED_WORKER_SCORE_H_

#include <optional>

#include "src/sched/state.h"

namespace cowslipmast::sched {

/** Score of a worker for a task, larger is better; nothing if the task should
 * not go there now. */
std::optional<double> ScoreOf(const State& state,
                              const WorkerState& worker,
                              const TaskRef& ref);

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
