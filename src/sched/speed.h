#ifndef COWSLIPMAST_SRC_SCHED_SPEED_H_
#define COWSLIPMAST_SRC_SCHED_SPEED_H_

#include "src/sched/state.h"

namespace cowslipmast::sched {

/** Takes in how far a task has come since the worker's last listing; before the
 * task's own figures are replaced.
 *
 * Answers workers that turn slow while they look healthy. Progress is compared
 * with the step's estimate, corrected by what the step's tasks on other workers
 * show: a job that takes longer than it says makes no worker look slow. */
void NoteSpeed(State& state,
               const TaskRef& ref,
               const RunningTask& running,
               TimePoint now);

/** Avoids the worker for a while if its tasks are much slower than elsewhere,
 * and stops those that would end sooner on another worker. */
void LeaveSlowWorker(State& state, int32_t worker, TimePoint now);

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHED_SPEED_H_
