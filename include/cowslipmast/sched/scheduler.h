#ifndef COWSLIPMAST_SCHED_SCHEDULER_H_
#define COWSLIPMAST_SCHED_SCHEDULER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "cowslipmast/sched/cell.h"
#include "cowslipmast/sched/cell_message.h"
#include "cowslipmast/sched/features.h"
#include "cowslipmast/sched/job.h"
#include "cowslipmast/sched/policy.h"
#include "cowslipmast/sched/worker_info.h"

namespace cowslipmast::sched {

/** Settings of the deployment. */
struct SchedulerOptions {
  CellId cell;
  CellLayout layout{kLayoutVersion, 1};
  Epoch epoch;  // of this owner
  /** Length of the leases that the scheduler grants. */
  Duration lease = std::chrono::seconds(6);
  /** Time from the claim until all leases that the previous owner may have
   * extended have expired: the time for which it may act without the store,
   * plus one lease. */
  Duration previous_owner_lease = std::chrono::seconds(10);
  /** Ended jobs are kept for this long after their end was stored. Callers may
   * ask for the state of an ended job for 120 s, and a late duplicate of a
   * submission may arrive some seconds after the response. */
  Duration ended_job_retention = std::chrono::seconds(150);
  /** Fraction by which a worker's clock may run slower than the scheduler's. */
  double max_clock_drift = 0.02;
  SchedulerFeatures features;
};

/** Starts a run on a worker. */
struct StartRunCommand {
  WorkerInstance worker;
  TaskName task;
  RunNumber run;
  std::string payload;
  std::string checkpoint;  // empty for a start from the beginning
};

/** Stops a run, or keeps it from starting if its start arrives later. */
struct StopRunCommand {
  WorkerInstance worker;
  TaskName task;
  RunNumber run;
};

/** Limits a run to a percentage of its full speed. */
struct PaceCommand {
  WorkerInstance worker;
  TaskName task;
  RunNumber run;
  uint32_t percent = 100;
};

/** A record to store; an empty value deletes the key. */
struct ProgressRecord {
  std::string key;
  std::string value;
};

/** Decisions of one planning step. */
struct Plan {
  /** Ended jobs whose submissions can be deleted. Their progress is deleted by
   * a later plan: in the opposite order a later owner could take such a job for
   * one that never ran. */
  std::vector<JobId> deleted_jobs;
  /** For other cells; must be sent only after `records` are stored. */
  std::vector<CellMessage> messages;
  /** Must be stored in one append before `starts` are sent. */
  std::vector<ProgressRecord> records;
  std::vector<StartRunCommand> starts;
  /** Sent without waiting for `records` to be stored. */
  std::vector<PaceCommand> paces;
};

/** One line of the decision log. */
struct Decision {
  std::string_view event;
  TaskName task;
  RunNumber run;
  WorkerId worker;
  std::string detail;  // inputs of the decision
};

/** Counts since the scheduler was created. */
struct SchedulerCounters {
  uint64_t starts = 0;
  uint64_t done = 0;
  uint64_t failed = 0;
  uint64_t lease_expired = 0;  // runs whose lease expired
  uint64_t lost = 0;           // runs that vanished without an outcome
  uint64_t starts_without_capacity = 0;  // starts refused for lack of capacity
  uint64_t worker_crashes = 0;  // workers replaced under their tasks, unplanned
  uint64_t jobs_given_up = 0;   // failed because a task crashes its workers
  uint64_t stops = 0;
  uint64_t paces = 0;
  uint64_t unexpected_runs =
      0;  // listed runs that the scheduler does not expect
  uint64_t bad_records = 0;
  uint64_t moved_jobs = 0;   // moved to other cells before they started
  uint64_t moved_tasks = 0;  // single tasks moved to other cells
  uint64_t late_steps = 0;   // put behind work that can meet its objective
  uint64_t turns = 0;        // of late work that has waited for too long
  uint64_t reservations_made = 0;    // of capacity, for large waiting tasks
  uint64_t capacity_holds_made = 0;  // for overdue long-running tasks
  uint64_t capacity_holds_used = 0;  // whose task has started
  uint64_t displaced_tasks = 0;      // stopped to make room for these
  uint64_t relocated_tasks = 0;      // long-running, moved for the same reason
  uint64_t reservations_kept = 0;    // whose step has started
  uint64_t reservations_failed = 0;  // dropped while the step still waited
  uint64_t tasks_backfilled = 0;     // started on a worker reserved for another
};

/** Work that waits for a worker longer than it should. */
struct WaitingSummary {
  /** Long-running tasks that are overdue, and their longest wait. */
  size_t overdue_tasks = 0;
  Duration longest_wait{0};
  /** Jobs without any run that have had a task ready for over 3 s, and their
   * longest wait. */
  size_t starved_jobs = 0;
  Duration longest_starvation{0};
};

/** What a cell knows of a job. */
struct JobStatus {
  JobState state = JobState::kQueued;  // as last stored
  std::optional<CellId> moved_to;      // the cell that knows its current state
};

/** Decides what runs where in one cell. Performs no I/O and reads no clock. */
class Scheduler {
 public:
  static std::unique_ptr<Scheduler> Make(const SchedulerOptions& options,
                                         TimePoint claimed_at);
  ~Scheduler();
  Scheduler(const Scheduler&) = delete;
  Scheduler& operator=(const Scheduler&) = delete;

  /** Replays a stored record. Returns false if it cannot be read or its job is
   * unknown. */
  bool RestoreProgress(const ProgressRecord& record);
  /** Ends the replay: from now on tasks of restored jobs may be planned. */
  void FinishRestore(TimePoint now);

  void SetPolicy(const Policy& policy, TimePoint now);
  /** Ignores a job whose id is already known, or that was deleted. Must be
   * called before the progress of the job is replayed. */
  void AddJob(const JobDefinition& spec, TimePoint now, WallTime wall);
  void CancelJob(const JobId& id, TimePoint now);
  /** Takes over a job, or tasks of one, from another cell. Must be called
   * before the progress of the job is replayed. */
  void AddTransfer(const JobTransfer& transfer, TimePoint now, WallTime wall);
  /** The cell that runs a moved job reports its end. */
  void EndMovedJob(const JobId& id, JobState end, TimePoint now);
  /** Another cell reports which moved tasks of the job it has done. A replay
   * calls this and `EndPartOfJob` after it has restored the job's progress. */
  void AddPartReport(const JobId& id, const PartReport& report, TimePoint now);
  /** The job, or one iteration of it, has ended, of which this cell runs moved
   * tasks. */
  void EndPartOfJob(const JobId& id,
                    std::optional<uint32_t> iteration,
                    TimePoint now);
  /** The message that tells another cell of the job's end has been stored. */
  void OnEndMessageStored(const JobId& id);

  /** Loads of the other cells. */
  void SetCellLoads(std::vector<CellLoad> loads, TimePoint now);
  /** What this cell has learned of the interference between images, for other
   * cells. */
  std::string OwnInterference() const;
  /** What other cells have learned, as encoded by `OwnInterference`. Returns
   * the number of encodings that could not be read. */
  size_t SetPeerInterference(const std::vector<std::string>& encoded);
  /** Load of this cell. */
  CellLoad Load(TimePoint now) const;

  void UpsertWorker(const WorkerInfo& info, TimePoint now);
  /** The platform no longer lists the worker. */
  void RemoveWorker(const WorkerId& id, TimePoint now);

  /** The worker's response to a listing request sent at `asked`. */
  void OnListing(const WorkerId& id,
                 const WorkerListing& listing,
                 TimePoint asked,
                 TimePoint now);
  /** The worker did not answer. */
  void OnUnreachable(const WorkerId& id, TimePoint now);
  /** Another worker answers at the worker's address: nothing of it runs. */
  void OnWorkerDead(const WorkerId& id, TimePoint now);
  /** Another instance of the worker has answered: nothing of this one runs. */
  void OnInstanceEnded(const WorkerInstance& instance, TimePoint now);

  void OnStarted(const StartRunCommand& command, TimePoint now);
  /** The start was not sent, because it is no longer wanted. */
  void OnStartSkipped(const StartRunCommand& command, TimePoint now);
  void OnStartRefused(const StartRunCommand& command,
                      StartRefusal refusal,
                      TimePoint now);
  /** The start may have been carried out, or may still be. */
  void OnStartUnknown(const StartRunCommand& command, TimePoint now);
  /** The worker confirmed the stop. An unconfirmed stop is planned again. */
  void OnStopped(const StopRunCommand& command, TimePoint now);
  /** The pace may not have been applied; it is planned again. */
  void OnPaceUnknown(const PaceCommand& command);

  /** The instance of the worker that answered last; nothing if none has
   * answered this owner, or if it is known to have ended. */
  std::optional<WorkerInstance> InstanceOf(const WorkerId& id) const;
  /** Lease end, on the instance's clock, for a command sent now; nothing if it
   * is not the instance that answered last or the worker is unreachable. */
  std::optional<WorkerClock> LeaseEnd(const WorkerInstance& instance,
                                      TimePoint now);
  /** Number up to which the instance may drop its ended runs; 0 if it is not
   * the one that answered last. */
  uint64_t AcknowledgedEnds(const WorkerInstance& instance) const;
  /** True if a planned start should still be sent. */
  bool IsStillWanted(const StartRunCommand& command) const;

  /** Stops that are due. Unlike a plan they wait for nothing to be stored: may
   * be called at any time, also between `MakePlan` and `OnStored`. */
  std::vector<StopRunCommand> TakeStops(TimePoint now);
  /** Cancellations to pass on to other cells; may be called at any time. */
  std::vector<CellMessage> TakeCancellations();
  /** Makes the next plan. Must not be called again before `OnStored`. */
  Plan MakePlan(TimePoint now, WallTime wall);
  /** The records of the last plan have been stored. */
  void OnStored(TimePoint now);
  /** The submissions of a plan's `deleted_jobs` have been deleted from the
   * store. */
  void OnSubmissionsDeleted(const std::vector<JobId>& ids, TimePoint now);
  /** No record of the job will come any more but its cancellation. */
  void ForgetUnknownJob(const JobId& id);
  /** Iterations that had tasks in several cells, whose end is stored since the
   * last call, of jobs that go on: what other cells have sent of them here can
   * be deleted. */
  std::vector<std::pair<JobId, uint32_t>> TakeEndedIterations();
  /** True if something has changed since the last plan was made. */
  bool NeedsPlan() const;
  /** False, after a restore, until the platform's list of workers has been
   * read: no run counts as gone before. */
  void SetWorkersKnown(bool known);
  /** True if, since the last plan was made, a long-running run has ended while
   * other long-running tasks waited: its capacity is unused until a plan. */
  bool HasAwaitedCapacity() const;
  /** Time at which a plan must be made even if nothing changes until then. */
  TimePoint NextDue(TimePoint now, WallTime wall) const;

  /** Nothing for an unknown job. */
  std::optional<JobStatus> StatusOf(const JobId& id) const;
  /** The job's state as last stored; nothing for an unknown job. */
  std::optional<JobState> StateOf(const JobId& id) const;
  /** Number of unended jobs of the queue of which no task has started. */
  size_t CountWaiting(const QueueId& queue) const;
  /** True while the worker has both latency-critical and best-effort tasks. */
  bool NeedsFrequentListing(const WorkerId& id) const;

  /** True while the platform lists the worker, it may have runs, or an answer
   * in its place may prove that it has crashed. */
  bool IsFollowed(const WorkerId& id) const;

  /** Workers that the platform lists. */
  std::vector<WorkerInfo> Workers() const;
  size_t CountWorkers() const;
  const SchedulerCounters& counters() const;
  WaitingSummary Waiting(TimePoint now) const;
  /** Decisions since the last call, oldest first. */
  std::vector<Decision> TakeDecisions();
  /** Tasks of a worker as last listed, as JSON on one line, for analysing
   * interference between tasks. */
  std::string DescribeWorker(const WorkerId& id) const;
  /** State as indented JSON, for people. */
  std::string Dump(TimePoint now) const;

 private:
  struct Impl;
  explicit Scheduler(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> m_impl;
};

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SCHED_SCHEDULER_H_
