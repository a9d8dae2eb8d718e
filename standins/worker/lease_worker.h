#ifndef COWSLIPMAST_STANDINS_WORKER_LEASE_WORKER_H_
#define COWSLIPMAST_STANDINS_WORKER_LEASE_WORKER_H_

#include <string>
#include <vector>

#include "cowslipmast/vm.h"
#include "standins/worker/invariant_checker.h"
#include "standins/worker/task_kind_table.h"
#include "standins/worker/task_lease.h"

namespace cowslipmast::standins {

struct WorkerOptions {
  Duration usage_lag = std::chrono::seconds(2);
  Duration checkpoint_time = std::chrono::milliseconds(200);
  /** Time until a task fails on a worker that fails all tasks. */
  Duration failure_time = std::chrono::milliseconds(10);
};

/** A simulated worker: runs tasks under leases and refuses commands of previous
 * owners. `table` and `checker` must outlive it. Commands take effect at the
 * `now` of the last call of Advance. */
class LeaseWorker {
 public:
  LeaseWorker(const VmInfo& vm,
              const TaskKindTable& table,
              InvariantChecker& checker,
              const WorkerOptions& options);

  /** Simulates the time up to `now`: ends of tasks, expired leases and
   * checkpoints. */
  void Advance(TimePoint now);

  bool Fence(Epoch epoch, CommandRefusal& reason);
  bool Start(const StartTaskCommand& command,
             WallTime wall_now,
             CommandRefusal& reason);
  bool Renew(Epoch epoch, Duration lease, CommandRefusal& reason);
  bool Throttle(Epoch epoch,
                const TaskId& task,
                uint64_t percent,
                CommandRefusal& reason);
  bool Checkpoint(Epoch epoch, const TaskId& task, CommandRefusal& reason);
  bool Stop(Epoch epoch, const TaskId& task, CommandRefusal& reason);
  bool Ack(Epoch epoch,
           const std::vector<TaskRun>& runs,
           CommandRefusal& reason);

  /** Simulates a restart of the VM: ends all tasks as lost. */
  void Restart();
  /** If set, tasks that start from now on fail. */
  void set_fail_all_tasks(bool fails) { m_fail_all_tasks = fails; }
  /** If set, starts are accepted without checks, so that the invariant checker
   * sees every violation. */
  void set_skip_start_checks(bool skip_start_checks) {
    m_skip_start_checks = skip_start_checks;
  }

  const VmInfo& vm() const { return m_vm; }
  Epoch max_epoch() const { return m_max_epoch; }
  const std::vector<TaskLease>& leases() const { return m_leases; }
  const std::vector<FinishedTask>& finished() const { return m_finished; }
  TimePoint now() const { return m_now; }

 private:
  Resources UsedResources() const;
  TaskLease* FindLease(const TaskId& task);
  bool WasStarted(const TaskRun& run);
  TaskLease MakeLease(const StartTaskCommand& command) const;
  bool CheckStart(const StartTaskCommand& command,
                  WallTime wall_now,
                  CommandRefusal& reason);
  double SpeedOf(const TaskLease& lease) const;
  TimePoint EndTimeOf(const TaskLease& lease) const;
  LeaseOutcome OutcomeAtEnd(const TaskLease& lease) const;
  void AdvanceProgress(TimePoint now);
  void EndLease(size_t position, LeaseOutcome result);
  void SampleUsage();

  VmInfo m_vm;
  const TaskKindTable& m_table;
  InvariantChecker& m_checker;
  WorkerOptions m_options;
  Epoch m_max_epoch;
  std::vector<TaskLease> m_leases;
  std::vector<FinishedTask> m_finished;
  TimePoint m_now;
  TimePoint m_sampled_at;
  bool m_fail_all_tasks = false;
  bool m_skip_start_checks = false;
};

}  // namespace cowslipmast::standins

#endif  // COWSLIPMAST_STANDINS_WORKER_LEASE_WORKER_H_
