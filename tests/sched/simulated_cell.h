#ifndef COWSLIPMAST_TESTS_SCHED_SIMULATED_CELL_H_
#define COWSLIPMAST_TESTS_SCHED_SIMULATED_CELL_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cowslipmast/sched/scheduler.h"
#include "tests/sched/job_builders.h"

namespace cowslipmast::sched {

/** A run on a simulated worker. */
struct SimulatedRun {
  RunNumber run;
  double remaining_work_s = 0;  // at full pace
  double total_work_s = 0;
  uint32_t pace_percent = 100;
  bool fails = false;
  TimePoint started;
  std::optional<TimePoint> stops_at;  // set while it is being stopped
};

inline constexpr Duration kTimeStep = std::chrono::milliseconds(10);

/** A worker in virtual time that follows the protocol of leases, runs and
 * listings. */
struct SimulatedWorker {
  WorkerInfo info;
  bool up = true;
  bool removed = false;  // for ever; see `RemoveWorker`
  bool reachable = true;
  /** The owner's requests for listings never end, even if the worker is gone.
   */
  bool hangs_listings = false;
  bool fails_all = false;
  bool refuses_starts = false;  // as an unhealthy worker
  bool stalls_all_runs = false;
  /** Refuses starts beyond its capacity; else it starts whatever it is told. */
  bool guards_capacity = true;
  /** When it is back after a crash, as another instance. */
  std::optional<TimePoint> restarts_at;
  /** When the platform lists its new instance. */
  std::optional<TimePoint> listed_at;
  double clock_rate = 1.0;
  int64_t start_time_ms = 1;
  double clock_ms = 1000;
  double lease_end_ms = 0;
  uint64_t fence = 0;
  std::map<TaskName, SimulatedRun> running;
  std::map<TaskName, RunNumber> highest_run;  // that was stopped or ended
  std::vector<EndedRun> ended;
  uint64_t last_outcome_number = 0;
  TimePoint next_listing;
  std::map<TaskName, double> tail_ms;  // by latency-critical task
};

/** What the simulation recorded. */
struct Observations {
  std::vector<std::string> violations;
  std::map<TaskName, int> starts;
  /** The last start of the task that no worker answered; it may run. */
  std::map<TaskName, TimePoint> unanswered_starts;
  std::set<TaskName> done;
  /** Ended on workers that are gone, perhaps before their outcome was read. */
  std::set<TaskName> possibly_done;
  /** Worker instances that the task has crashed. */
  std::map<TaskName, int> crashes;
  uint64_t starts_without_capacity = 0;
  /** Time that latency-critical tasks were over their targets while best-effort
   * tasks interfered: in total, and the longest period of one task. */
  double total_over_target_s = 0;
  double longest_over_target_s = 0;
};

/** A scheduler with simulated workers and a simulated store, in virtual time.
 * Checks every start against what the workers have run. */
class SimulatedCell {
 public:
  explicit SimulatedCell(const SchedulerOptions& options = SchedulerOptions());

  /** `first_number` numbers the workers and, by eights, their racks. */
  void AddWorkers(int count,
                  int64_t cores,
                  int64_t memory_mb,
                  size_t first_number = 0);
  SimulatedWorker& worker(size_t index) { return m_workers[index]; }
  const SimulatedWorker& worker(size_t index) const { return m_workers[index]; }
  size_t worker_count() const { return m_workers.size(); }
  void SetQueue(const std::string& queue, const QueuePolicy& policy);
  void SetWorkspace(const std::string& workspace,
                    const WorkspacePolicy& policy);
  /** The operators remove the queue. */
  void RemoveQueue(const std::string& queue);
  /** Run time of a task in seconds; the step's estimate if not set. */
  std::function<double(const TaskName&)> run_time_s_of;
  /** Interference coefficient of a best-effort image on a latency-critical one.
   */
  std::function<double(const std::string& best_effort,
                       const std::string& latency_critical)>
      interference_of;
  /** Tasks that crash each worker that starts them. */
  std::function<bool(const TaskName&)> crashes_worker;
  Duration crash_delay = std::chrono::milliseconds(50);
  Duration restart_delay = std::chrono::seconds(2);
  /** Time from a stop command to the end of the run. */
  Duration stop_delay{0};
  /** Time from the start of an instance until the platform lists it. */
  Duration listing_delay = std::chrono::milliseconds(500);
  /** Own utilisation of a latency-critical task at a time in seconds. */
  std::function<double(const TaskName&, double)> own_utilisation_of;

  void Submit(JobDefinition spec);
  /** True if another cell has done the task; not set for a single cell. */
  std::function<bool(const TaskName&)> is_done_elsewhere;
  /** True if that run of the task fails, on a worker that is healthy. */
  std::function<bool(const TaskName&)> run_fails;

  /** A record of another cell arrives in this cell's job stream. */
  void Deliver(const CellMessage& message);
  /** Messages to other cells that were stored since the last call. */
  std::vector<CellMessage> TakeMessages();
  /** Advances the time by `kTimeStep`. */
  void Advance();
  void Cancel(const std::string& job);
  void RemoveFromList(size_t worker);
  /** The worker is gone, and the platform does not list it any more. */
  void RemoveWorker(size_t worker);
  /** The platform lists the worker's changed `info`. */
  void UpdateWorkerInfo(size_t worker);
  /** Replaces the worker's instance by a new one without runs. */
  void RestartWorker(size_t worker);
  /** The worker's instance is gone, with its runs and unread outcomes. */
  void StopWorker(size_t worker);
  /** A run ends; a long-running task's only ends in this way. */
  void EndRunOf(const TaskName& task, RunOutcome outcome);
  /** The worker is down until it restarts after `restart_delay`. */
  void CrashWorker(size_t worker);
  /** While false nothing is stored, and no plan is carried out. */
  bool store_is_up = true;
  /** While true pace commands neither arrive nor get a response. */
  bool loses_paces = false;
  /** Time between a plan and the response of the store to its records. */
  Duration append_latency{0};
  /** Changes the records that the next owner reads. */
  std::function<std::string(const std::string&)> rewrite_stored_value;
  /** Another process takes over the cell: a new scheduler starts from what is
   * stored. */
  void ReplaceOwner();
  /** The owner is gone until `ReplaceOwner`. Its last plan may be stored
   * although none of its messages and starts was sent. */
  void RemoveOwner(bool last_plan_is_stored);
  bool has_owner() const { return m_has_owner; }

  void Run(Duration duration);
  /** Runs until the job has ended or `limit` has passed. */
  void RunUntilEnd(const std::string& job, Duration limit);

  Scheduler& scheduler() { return *m_scheduler; }
  const Policy& policy() const { return m_policy; }
  const Observations& observations() const { return m_observations; }
  TimePoint now() const { return m_now; }
  std::optional<JobState> StateOf(const std::string& job) const;
  std::optional<TimePoint> EndTimeOf(const std::string& job) const;
  /** Number of runs of the job on workers that are up. */
  size_t CountRunning(const std::string& job) const;
  std::optional<size_t> WorkerOf(const TaskName& task) const;
  /** Progress of jobs, and what other cells have sent, that is stored. */
  size_t CountStoredRecords() const;

 private:
  void MakeScheduler();
  void StorePendingRecords();
  void AdvanceOwner();
  void ApplyRecord(const std::string& key, const std::string& value);
  void AdvanceWorker(SimulatedWorker& worker);
  void CrashWorkers();
  void LoseOutcomes(const SimulatedWorker& worker);
  void EndOtherMembers(const SimulatedWorker& crashed);
  void UpdateTails(SimulatedWorker& worker);
  void SendListing(SimulatedWorker& worker);
  void MakeNextPlan();
  void ApplyStoredPlan();
  void DeleteJob(const JobId& id);
  void Start(const StartRunCommand& command);
  void Stop(const StopRunCommand& command);
  void Pace(const PaceCommand& command);
  /** The worker with that id, whichever instance it is now. */
  SimulatedWorker* Find(const WorkerId& id);
  /** Null if no command reaches that instance. */
  SimulatedWorker* FindReachable(const WorkerInstance& instance);
  /** Number up to which the worker may drop its ends. */
  uint64_t AcknowledgedEnds(const SimulatedWorker& worker) const;
  void EndRun(SimulatedWorker& worker,
              const TaskName& task,
              RunOutcome outcome);
  void CheckStart(const SimulatedWorker& worker,
                  const StartRunCommand& command);
  const StepSpec& SpecOf(const TaskName& task) const;
  void AddViolation(const std::string& rule, const TaskName& task);

  SchedulerOptions m_options;
  TimePoint m_now;
  std::unique_ptr<Scheduler> m_scheduler;
  std::vector<SimulatedWorker> m_workers;
  std::map<JobId, JobDefinition> m_jobs;
  std::set<JobId> m_submitted;  // here, and not in another cell
  std::set<JobId> m_open_jobs;  // of `m_jobs`, without an end time
  std::set<JobId> m_cancelled;
  std::map<std::string, std::string> m_stored_records;
  std::map<std::string, std::string> m_received_records;  // by key
  std::vector<CellMessage> m_sent_messages;
  std::optional<Plan> m_pending_plan;
  TimePoint m_pending_since;
  /** Completed tasks whose worker crashed before the end was acknowledged. */
  Policy m_policy;
  Observations m_observations;
  std::map<JobId, TimePoint> m_end_times;
  std::map<TaskName, double> m_over_target_s;
  uint64_t m_epoch = 0;
  bool m_has_owner = true;
};

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_TESTS_SCHED_SIMULATED_CELL_H_
