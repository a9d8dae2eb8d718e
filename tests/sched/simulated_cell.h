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

namespace cowslipmast::sched {

/** A run on a fake worker. */
struct FakeRun {
  RunNumber run;
  double work_left_s = 0;  // at full speed
  double work_s = 0;
  uint32_t pace = 100;
  bool fails = false;
  TimePoint started;
};

/** A worker in virtual time that keeps the rules of leases, runs and ends. */
struct FakeWorker {
  WorkerInfo info;
  bool up = true;
  bool reachable = true;
  bool fails_all = false;
  bool stands_still = false;
  double clock_rate = 1.0;
  int64_t born_ms = 1;
  double clock_ms = 1000;
  double lease_end_ms = 0;
  uint64_t fence = 0;
  std::map<TaskName, FakeRun> running;
  std::map<TaskName, RunNumber> highest;  // run that was stopped or ended
  std::vector<EndedTask> ended;
  uint64_t last_end = 0;
  TimePoint next_listing;
  std::map<TaskName, double> tails;  // ms, by serving task
};

/** What the judge saw. */
struct Verdict {
  std::vector<std::string> broken;
  std::map<TaskName, int> starts;
  std::set<TaskName> done;
  uint64_t refused_for_room = 0;
  double tail_over_target_s = 0;  // of serving tasks, beside filling ones
  double longest_over_target_s = 0;
};

/** A scheduler with fake workers and a fake store, in virtual time. Judges
 * every start by what the workers have seen. */
class FakeCell {
 public:
  explicit FakeCell(const SchedulerOptions& options = SchedulerOptions());

  void AddWorkers(int count, int64_t cores, int64_t memory_mb);
  FakeWorker& worker(size_t index) { return m_workers[index]; }
  size_t worker_count() const { return m_workers.size(); }
  void SetQueue(const std::string& queue, const QueuePolicy& policy);
  /** Run time of a task in seconds; the step's estimate without it. */
  std::function<double(const TaskName&)> work_of;
  /** Pressure of a filling image on a serving one. */
  std::function<double(const std::string& filling, const std::string& serving)>
      pressure_of;
  /** Own load of a serving task at a time in seconds. */
  std::function<double(const TaskName&, double)> own_load_of;

  void Submit(JobSpec spec);
  void Cancel(const std::string& job);
  void RemoveFromList(size_t worker);
  /** A worker's entry changed. */
  void Announce(size_t worker);
  /** Lets the worker's life end; a new one starts with nothing. */
  void Restart(size_t worker);
  /** Nothing is stored, and no plan is acted on, while the store is down. */
  bool store_up = true;
  /** Another process takes the cell: the scheduler starts from what is stored.
   */
  void TakeOver();

  void Run(Duration duration);
  /** Runs until the job has ended or `limit` has passed. */
  void RunUntilEnd(const std::string& job, Duration limit);

  Scheduler& scheduler() { return *m_scheduler; }
  const Verdict& verdict() const { return m_verdict; }
  TimePoint now() const { return m_now; }
  std::optional<JobState> StateOf(const std::string& job) const;
  std::optional<TimePoint> EndOf(const std::string& job) const;
  /** Runs on workers that are up, of the job. */
  size_t CountRunning(const std::string& job) const;
  std::optional<size_t> PlaceOf(const TaskName& task) const;

 private:
  void MakeScheduler();
  void Step();
  void AdvanceWorker(FakeWorker& worker);
  void UpdateTails(FakeWorker& worker);
  void List(FakeWorker& worker);
  void DecideNext();
  void Act();
  void Start(const StartCommand& command);
  void Stop(const StopCommand& command);
  void Pace(const PaceCommand& command);
  FakeWorker* Find(const WorkerId& id);
  void EndRun(FakeWorker& worker, const TaskName& task, EndKind how);
  void JudgeStart(const FakeWorker& worker, const StartCommand& command);
  const StepSpec& SpecOf(const TaskName& task) const;
  void Break(const std::string& rule, const TaskName& task);

  SchedulerOptions m_options;
  TimePoint m_now;
  std::unique_ptr<Scheduler> m_scheduler;
  std::vector<FakeWorker> m_workers;
  std::map<JobId, JobSpec> m_jobs;
  std::set<JobId> m_cancelled;
  std::map<std::string, std::string> m_stored;
  std::optional<Plan> m_pending;
  Policy m_policy;
  Verdict m_verdict;
  std::map<JobId, TimePoint> m_ends;
  std::map<TaskName, double> m_over_target;
  uint64_t m_epoch = 0;
};

/** A step with `count` tasks of `cores` cores and `memory_mb`, `seconds` long.
 */
StepSpec MakeStep(uint32_t count,
                  int64_t cores,
                  int64_t memory_mb,
                  double seconds);
JobSpec MakeJob(const std::string& id,
                const std::string& queue,
                std::vector<StepSpec> steps);

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_TESTS_SCHED_SIMULATED_CELL_H_
