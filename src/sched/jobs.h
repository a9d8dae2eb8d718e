#ifndef COWSLIPMAST_SRC_SCHED_JOBS_H_
#define COWSLIPMAST_SRC_SCHED_JOBS_H_

#include "src/sched/state.h"

namespace cowslipmast::sched {

/** Makes the iteration if it does not exist. */
Iteration& IterationOf(State& state, Job& job, uint32_t number, TimePoint due);

/** Makes the iterations that are due. */
void OpenDueIterations(State& state, TimePoint now, WallTime wall);

/** Makes the tasks of each step whose earlier steps are done wait for a place.
 */
void UnblockSteps(State& state, Iteration& iteration, TimePoint now);

/** Puts a task in line for a place. */
void MakeReady(State& state, const TaskRef& ref, TimePoint now);

/** Marks the iteration's record as out of date. */
void MarkDirty(State& state, Iteration& iteration);

/** Counts a task as done and opens what waited for it. */
void FinishTask(State& state, const TaskRef& ref, TimePoint now);

/** Ends a job that failed or was cancelled: its tasks stop. */
void EndJob(State& state, Job& job, JobState end, TimePoint now);

/** Policy of the job's queue; the last one known if the operators removed the
 * queue. */
const QueuePolicy& PolicyOf(const State& state, const Job& job);

/** Number of iterations that the job has in all. */
uint32_t IterationCount(const JobSpec& spec);

/** Removes ended jobs that nobody asks for any more, and their records. */
void ForgetEndedJobs(State& state, TimePoint now, Plan& plan);

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHED_JOBS_H_
