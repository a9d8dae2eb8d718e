#ifndef COWSLIPMAST_SRC_SCHEDULER_PROCESS_WORKER_DRIVER_H_
#define COWSLIPMAST_SRC_SCHEDULER_PROCESS_WORKER_DRIVER_H_

#include <functional>
#include <memory>
#include <vector>

#include "cowslipmast/sched/scheduler.h"
#include "src/net/asio.h"
#include "src/scheduler_process/platform_ports.h"

namespace cowslipmast::sched {

/** Callbacks into the owner of the cell. */
struct WorkerDriverHooks {
  /** True while the owner may extend leases and start tasks. */
  std::function<bool()> has_authority;
  /** True while the cancellations that were accepted some seconds ago are
   * known: no task starts otherwise. */
  std::function<bool()> knows_cancellations;
  /** Called after a change that the scheduler should plan for. */
  std::function<void()> on_event;
  /** Delay with which this process handles its events. */
  std::function<Duration()> own_lag;
  /** Called when a worker has seen a later owner. */
  std::function<void()> on_fenced;
  /** Logs each listing in full, for investigations: the output is large. */
  bool log_listings = false;
};

struct WorkerCallCounters {
  uint64_t listings = 0;
  uint64_t failed_listings = 0;
  uint64_t commands = 0;
  uint64_t failed_commands = 0;
};

/** Lists the runs of each worker of a cell repeatedly, which extends the
 * leases, and sends commands to the workers. */
class WorkerDriver {
 public:
  static std::shared_ptr<WorkerDriver> Make(asio::io_context& io,
                                            const WorkerPort& port,
                                            Scheduler& scheduler,
                                            Epoch epoch,
                                            WorkerDriverHooks hooks);
  ~WorkerDriver();

  /** Starts to list the given workers; stops with workers that are no longer
   * given, once they have no tasks. */
  void SetWorkers(const std::vector<WorkerInfo>& workers);
  void Send(const StartRunCommand& command);
  void Send(const StopRunCommand& command);
  void Send(const PaceCommand& command);
  /** Sends nothing more; calls in progress have no effect. */
  void Stop();

  const WorkerCallCounters& counters() const;

 private:
  struct Impl;
  explicit WorkerDriver(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> m_impl;
};

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHEDULER_PROCESS_WORKER_DRIVER_H_
