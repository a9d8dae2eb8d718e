#ifndef COWSLIPMAST_SRC_SCHED_JOB_PARTS_H_
#define COWSLIPMAST_SRC_SCHED_JOB_PARTS_H_

#include <optional>
#include <vector>

#include "cowslipmast/sched/cell_message.h"
#include "src/sched/state.h"

namespace cowslipmast::sched {

// Jobs whose tasks run in several cells; docs/design/jobs-across-cells.md.

/** True in the cell that decides on the job's steps, iterations and ends; false
 * where the job has moved on, or only tasks of it were moved. */
bool IsCoordinator(const Job& job);

/** Plans to send tasks of an iteration, which was due `age` ago, to the cell
 * that is to hold them. */
void SendTasks(State& state,
               const Iteration& iteration,
               CellId target,
               std::vector<MovedTask> tasks,
               Duration age);

/** Takes over tasks that another cell has handed on. Repeated and late
 * transfers have no effect. */
void ApplyTaskTransfer(State& state,
                       const JobTransfer& transfer,
                       TimePoint now,
                       WallTime wall);

/** Plans to tell the coordinator which of the moved tasks are done. Must be
 * called along with the record that shows them so. */
void PlanPartReport(State& state, Iteration& iteration);

/** Another cell has done tasks that were handed on. */
void ApplyPartReport(State& state,
                     const JobId& id,
                     const PartReport& report,
                     TimePoint now);

/** Plans to tell the cells that tasks of an ended job were handed to. A
 * cancellation is passed on instead; see `ForwardCancellation`. */
void PlanEndOfParts(State& state, const Job& job);

/** Plans the same for an ended iteration of a job that goes on. */
void PlanEndOfIterationParts(State& state, const Iteration& iteration);

/** The job of which this cell has a part, or one iteration of it, has ended. */
void EndPart(State& state,
             const JobId& id,
             std::optional<uint32_t> iteration,
             TimePoint now);

/** Plans to send the transfers and reports of a restored job again, as the
 * previous owner may not have sent them. */
void RepeatPartMessages(State& state, const Job& job, TimePoint now);

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHED_JOB_PARTS_H_
