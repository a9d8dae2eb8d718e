#ifndef COWSLIPMAST_SRC_SCHED_HEALTH_H_
#define COWSLIPMAST_SRC_SCHED_HEALTH_H_

#include "src/sched/state.h"

namespace cowslipmast::sched {

/** Updates a worker's health with the outcome of a run.
 *
 * Detects workers that look healthy but fail every task. A failed run costs one
 * of a task's few attempts, so two failures in a row, which healthy workers
 * show for one task in some hundred, suffice to avoid a worker for a while. It
 * then gets one task as a probe, and another one for each more urgent priority
 * that would have to wait for it. `run_time` is 0 if unknown. */
void RecordRunOutcome(State& state,
                      int32_t worker,
                      RunOutcome outcome,
                      Duration run_time,
                      TimePoint now);

/** True if one more failed run of the task fails its job. */
bool IsLastAttempt(const QueuePolicy& policy,
                   const StepSpec& spec,
                   const Task& task);

/** True if the worker is healthy enough to get a task of that priority now:
 * no probe of the same or a more urgent one runs there, or a run has made
 * progress for longer than the failed ones took. A task on its last
 * attempt may only go where no run has failed since the last completed one, or
 * for a while. */
bool IsTrusted(const WorkerState& worker,
               uint32_t priority,
               bool last_attempt,
               TimePoint now);

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHED_HEALTH_H_
