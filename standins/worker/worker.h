#ifndef COWSLIPMAST_STANDINS_WORKER_WORKER_H_
#define COWSLIPMAST_STANDINS_WORKER_WORKER_H_

#include <string>
#include <vector>

#include "cowslipmast/vm.h"
#include "standins/worker/judge.h"
#include "standins/worker/kind_table.h"
#include "standins/worker/task.h"

namespace cowslipmast::standins {

struct WorkerOptions {
  Duration usage_lag = std::chrono::seconds(2);
  Duration checkpoint_time = std::chrono::milliseconds(200);
  /** Time until a task fails on a worker that fails everything. */
  Duration failure_time = std::chrono::milliseconds(10);
};

/** One worker: runs tasks under leases and refuses commands of old owners.
 * `table` and `judge` outlive it. Commands take effect at the `now` of the
 * last call of Advance. */
class Worker {
 public:
  Worker(const VmInfo& vm,
         const KindTable& table,
         Judge& judge,
         const WorkerOptions& options);

  /** Carries out what happens up to `now`: ends, lost leases, checkpoints. */
  void Advance(TimePoint now);

  bool Fence(Epoch epoch, Refusal& reason);
  bool Start(const StartCommand& command, WallTime wall_now, Refusal& reason);
  bool Renew(Epoch epoch, Duration lease, Refusal& reason);
  bool Throttle(Epoch epoch,
                const TaskId& task,
                uint64_t percent,
                Refusal& reason);
  bool Checkpoint(Epoch epoch, const TaskId& task, Refusal& reason);
  bool Stop(Epoch epoch, const TaskId& task, Refusal& reason);
  bool Ack(Epoch epoch, const std::vector<TaskRun>& runs, Refusal& reason);

  /** Ends all tasks as lost, as when the VM restarts. */
  void Restart();
  /** Tasks started from now on fail. */
  void set_fails_all(bool fails) { m_fails_all = fails; }
  /** Starts are checked for nothing, so that the judge sees every fault. */
  void set_careless(bool careless) { m_careless = careless; }

  const VmInfo& vm() const { return m_vm; }
  Epoch max_epoch() const { return m_max_epoch; }
  const std::vector<Lease>& leases() const { return m_leases; }
  const std::vector<FinishedTask>& finished() const { return m_finished; }
  TimePoint now() const { return m_now; }

 private:
  Resources Used() const;
  Lease* FindLease(const TaskId& task);
  bool IsHere(const TaskRun& run);
  Lease MakeLease(const StartCommand& command) const;
  bool MayStart(const StartCommand& command,
                WallTime wall_now,
                Refusal& reason);
  double SpeedOf(const Lease& lease) const;
  TimePoint EndOf(const Lease& lease) const;
  TaskResult ResultAtEnd(const Lease& lease) const;
  void ProgressTo(TimePoint now);
  void EndLease(size_t position, TaskResult result);
  void SampleUsage();

  VmInfo m_vm;
  const KindTable& m_table;
  Judge& m_judge;
  WorkerOptions m_options;
  Epoch m_max_epoch;
  std::vector<Lease> m_leases;
  std::vector<FinishedTask> m_finished;
  TimePoint m_now;
  TimePoint m_sampled_at;
  bool m_fails_all = false;
  bool m_careless = false;
};

}  // namespace cowslipmast::standins

#endif  // COWSLIPMAST_STANDINS_WORKER_WORKER_H_
