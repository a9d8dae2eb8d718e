#ifndef COWSLIPMAST_SRC_SCHED_JOBS_H_
#define COWSLIPMAST_SRC_SCHED_JOBS_H_

#include "src/sched/state.h"

namespace cowslipmast::sched {

/** Returns an iteration, which is created if it does not exist. */
Iteration& GetOrCreateIteration(State& state,
                                Job& job,
                                uint32_t number,
                                TimePoint due);

/** Creates the iterations that are due. A job gets only some of many that are
 * overdue, and further ones as they are done. */
void CreateDueIterations(State& state, TimePoint now, WallTime wall);

/** True if the iteration is done, whether or not its tasks are kept. */
bool IsDone(const Job& job, uint32_t iteration);
void NoteDone(Job& job, uint32_t iteration);

/** Frees the tasks of an iteration that is done and whose record is encoded, if
 * its job has more of them. */
void ForgetDoneIteration(State& state, Job& job, uint32_t number);

/** Queues the tasks of each step whose dependencies are done. */
void UnblockSteps(State& state, Iteration& iteration, TimePoint now);

/** Queues the long-running tasks that wait although they had a run, as overdue:
 * for how long they have waited under earlier owners is not stored. */
void ResumeWaits(State& state, Iteration& iteration, TimePoint now);

/** Queues a task for placement that has waited in other cells for `waited`. */
void MakeReady(State& state,
               const TaskRef& ref,
               TimePoint now,
               Duration waited = Duration(0));

/** Marks the iteration's stored record as out of date. */
void MarkDirty(State& state, Iteration& iteration);

/** Marks a task as done and queues the steps that depended on it, unless this
 * is a replay. */
void FinishTask(State& state, const TaskRef& ref, TimePoint now);

/** Marks all tasks as done without further effects; none may have a worker. */
void SetAllDone(Iteration& iteration);

/** Marks a task as done without further effects. */
void SetTaskDone(const TaskRef& ref);

/** A worker has confirmed a start of one of the job's tasks, or listed a run.
 */
void NoteStart(Job& job);

/** True if no task of the job has started, as far as this cell knows. */
bool IsWaiting(const Job& job);

/** Ends a job that failed or was cancelled, and stops its tasks. */
void EndJob(State& state, Job& job, JobState end, TimePoint now);

/** Policy of the job's queue; if the operators removed the queue, the last one
 * that this owner knows, or that at the job's acceptance. */
const QueuePolicy& PolicyOf(const State& state, const Job& job);

/** Adds a job that is not known yet; its iterations are created later. */
Job& AddJobWithoutIterations(State& state,
                             const JobDefinition& spec,
                             TimePoint now,
                             WallTime wall);

/** Starts the only iteration of a job without due times. */
void StartFirstIteration(State& state, Job& job, TimePoint now);

/** Ends a job, and passes the cancellation on to cells that run parts of it. */
void CancelKnownJob(State& state, Job& job, TimePoint now);

/** Number of iterations that the job has in all. */
uint32_t IterationCount(const JobDefinition& spec);

/** The states of the jobs in the last plan are stored. */
void PublishStates(State& state, TimePoint now);

/** Deletes ended jobs and their records once callers no longer ask for them. */
void DeleteEndedJobs(State& state, TimePoint now, Plan& plan);

/** Forgets the ids of jobs that were deleted long ago. */
void ForgetOldDeletions(State& state, TimePoint now);

/** The store has deleted the submissions of these jobs. */
void ForgetDeletedJobs(State& state,
                       const std::vector<JobId>& ids,
                       TimePoint now);

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHED_JOBS_H_
