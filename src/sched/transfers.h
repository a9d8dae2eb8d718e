#ifndef COWSLIPMAST_SRC_SCHED_TRANSFERS_H_
#define COWSLIPMAST_SRC_SCHED_TRANSFERS_H_

#include "cowslipmast/sched/cell_message.h"
#include "src/sched/state.h"

namespace cowslipmast::sched {

/** Moves waiting jobs, of which no task has started, to cells that suit them
 * better. Must be called before tasks are placed. */
void PlanJobTransfers(State& state, TimePoint now);

/** Takes over a job, or tasks of one, that another cell has moved here.
 * Repeated and late transfers have no effect. */
void ApplyTransfer(State& state,
                   const JobTransfer& transfer,
                   TimePoint now,
                   WallTime wall);

/** A job that was moved away has ended in its cell. */
void ApplyRemoteEnd(State& state, const JobId& id, JobState end, TimePoint now);

/** Plans to tell the cells that moved the job here how it has ended; it is kept
 * until the messages are stored. The failure of a part is told to the job's
 * coordinator. */
void PlanEndMessages(State& state, Job& job);

/** Plans to send the transfers, cancellations and ends of a restored job again,
 * as the previous owner may not have sent them. */
void RepeatMessages(State& state, const Job& job, TimePoint now);

/** Plans to pass a cancellation on to the cells that run parts of the job. */
void ForwardCancellation(State& state, const Job& job);

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHED_TRANSFERS_H_
