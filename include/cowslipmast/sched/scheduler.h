#ifndef COWSLIPMAST_SCHED_SCHEDULER_H_
#define COWSLIPMAST_SCHED_SCHEDULER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cowslipmast/sched/job.h"
#include "cowslipmast/sched/policy.h"
#include "cowslipmast/sched/worker.h"

namespace cowslipmast::sched {

/** Figures that the deployment sets. */
struct SchedulerOptions {
  /** Length of the leases that the scheduler asks for. */
  Duration lease = std::chrono::seconds(6);
  /** How long an earlier owner may still have extended leases for, counted
   * from the claim: its authority without the store, and one lease. */
  Duration earlier_owner_lease = std::chrono::seconds(10);
  /** How much slower than ours a worker's clock may run. */
  double slow_clock = 0.02;
};

/** Starts a run on a worker. */
struct StartCommand {
  WorkerId worker;
  TaskName task;
  RunNumber run;
  std::string payload;
  std::string checkpoint;  // empty for a start from the beginning
};

/** Stops a run, and keeps it from starting if it has not arrived yet. */
struct StopCommand {
  WorkerId worker;
  TaskName task;
  RunNumber run;
};

/** Lets a run work at a share of its speed. */
struct PaceCommand {
  WorkerId worker;
  TaskName task;
  RunNumber run;
  uint32_t percent = 100;
};

/** A record that must be stored; an empty value deletes the key. */
struct ProgressRecord {
  std::string key;
  std::string value;
};

/** What one planning step decided. */
struct Plan {
  /** Ended jobs whose submissions are deleted before `records` are stored. */
  std::vector<JobId> forgotten;
  /** Stored in one append before `starts` are sent. */
  std::vector<ProgressRecord> records;
  std::vector<StartCommand> starts;
  /** Sent at once. */
  std::vector<StopCommand> stops;
  std::vector<PaceCommand> paces;
};

/** One line of the decision log: `what` happened, and the inputs. */
struct Decision {
  std::string_view what;
  TaskName task;
  RunNumber run;
  WorkerId worker;
  std::string detail;
};

/** Counts since the scheduler was made. */
struct SchedulerCounters {
  uint64_t starts = 0;
  uint64_t done = 0;
  uint64_t failed = 0;
  uint64_t lapsed = 0;
  uint64_t lost = 0;     // runs that are gone without an end
  uint64_t no_room = 0;  // starts refused for want of room
  uint64_t stops = 0;
  uint64_t paces = 0;
  uint64_t foreign = 0;  // listed runs that the records do not explain
  uint64_t bad_records = 0;
};

/** Owner of one cell: decides what runs where. No I/O, no clock. */
class Scheduler {
 public:
  static std::unique_ptr<Scheduler> Make(const SchedulerOptions& options,
                                         TimePoint claimed);
  ~Scheduler();
  Scheduler(const Scheduler&) = delete;
  Scheduler& operator=(const Scheduler&) = delete;

  /** Replays stored progress of a known job. False if the record cannot be
   * read or its job is not known. */
  bool RestoreProgress(const ProgressRecord& record);
  /** Ends the replay: tasks of restored jobs may be planned from here on. */
  void FinishRestore(TimePoint now);

  void SetPolicy(const Policy& policy, TimePoint now);
  /** A second job with the id of a known one is ignored. Called before the
   * progress of the job is replayed. */
  void AddJob(const JobSpec& spec, TimePoint now, WallTime wall);
  void CancelJob(const JobId& id, TimePoint now);

  void UpsertWorker(const WorkerInfo& info, TimePoint now);
  /** The platform lists the worker no more. */
  void RemoveWorker(const WorkerId& id, TimePoint now);

  /** The worker's answer to a call that was sent at `asked`. */
  void OnListing(const WorkerId& id,
                 const WorkerListing& listing,
                 TimePoint asked,
                 TimePoint now);
  /** The worker did not answer. */
  void OnSilence(const WorkerId& id, TimePoint now);
  /** The platform or the worker's address shows that this life of the worker
   * is over: nothing runs there. */
  void OnWorkerDead(const WorkerId& id, TimePoint now);

  void OnStarted(const StartCommand& command, TimePoint now);
  /** The start was not sent, because it is not wanted any more. */
  void OnStartSkipped(const StartCommand& command, TimePoint now);
  void OnStartRefused(const StartCommand& command,
                      StartRefusal refusal,
                      TimePoint now);
  /** The start may have been carried out, or may yet be. */
  void OnStartUnknown(const StartCommand& command, TimePoint now);
  /** The worker confirmed the stop; one that is not confirmed is planned again.
   */
  void OnStopped(const StopCommand& command, TimePoint now);
  /** The pace may not be in force: it is sent again. */
  void OnPaceUnknown(const PaceCommand& command);

  /** Time on the worker's clock for the lease of a command sent now; nothing
   * if its clock is not known yet, or if it is silent. */
  std::optional<WorkerClock> LeaseEnd(const WorkerId& id, TimePoint now);
  /** Number up to which the worker may forget its ends. */
  uint64_t AcknowledgedEnds(const WorkerId& id) const;
  /** True while a planned start should still be sent. */
  bool IsStillWanted(const StartCommand& command) const;

  /** Decides what to do. Must not be called again until `OnStored`. */
  Plan MakePlan(TimePoint now, WallTime wall);
  /** The records of the last plan are stored. */
  void OnStored(TimePoint now);
  /** True if a plan made now could differ from none. */
  bool NeedsPlan() const;
  /** When a plan is due at the latest though nothing happens. */
  TimePoint NextDue(TimePoint now, WallTime wall) const;

  /** State that may be shown to callers; nothing for an unknown job. */
  std::optional<JobState> StateOf(const JobId& id) const;
  /** Jobs of the queue of which no task has started. */
  size_t CountWaiting(const QueueId& queue) const;
  /** True while tasks with a latency target run beside tasks that fill. */
  bool NeedsCloseWatch(const WorkerId& id) const;

  /** True while runs may be present on the worker. */
  bool HasTasks(const WorkerId& id) const;

  /** Workers that the platform lists. */
  std::vector<WorkerInfo> Workers() const;
  size_t CountWorkers() const;
  const SchedulerCounters& counters() const;
  /** Decisions since the last call, oldest first. */
  std::vector<Decision> TakeDecisions();
  /** What runs on a worker as it was last listed, as JSON text on one line:
   * for studying how tasks disturb each other. */
  std::string DescribeWorker(const WorkerId& id) const;
  /** State as indented JSON text, for people. */
  std::string Dump(TimePoint now) const;

 private:
  struct Impl;
  explicit Scheduler(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> m_impl;
};

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SCHED_SCHEDULER_H_
