#ifndef COWSLIPMAST_SRC_SCHED_WORK_TO_MOVE_H_
#define COWSLIPMAST_SRC_SCHED_WORK_TO_MOVE_H_

#include "src/sched/choose_cell.h"
#include "src/sched/state.h"

namespace cowslipmast::sched {

/** False if the loads of the other cells are too old to decide on. */
bool HasFreshLoads(const State& state, TimePoint now);

/** True if the job, with the state of its tasks, fits into one record. */
bool IsSmallEnoughToMove(const Job& job);

/** The step's waiting tasks, as work that may move to another cell. */
WaitingWork DescribeWork(const State& state,
                         const ReadyKey& key,
                         TimePoint now);

/** A task as it is told to the cell that it moves to. */
MovedTask DescribeTask(const TaskRef& ref, Duration waited);

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHED_WORK_TO_MOVE_H_
