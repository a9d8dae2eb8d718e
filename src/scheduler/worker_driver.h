#ifndef COWSLIPMAST_SRC_SCHEDULER_WORKER_DRIVER_H_
#define COWSLIPMAST_SRC_SCHEDULER_WORKER_DRIVER_H_

#include <functional>
#include <memory>
#include <vector>

#include "cowslipmast/sched/scheduler.h"
#include "src/net/asio.h"
#include "src/scheduler/ports.h"

namespace cowslipmast::sched {

/** What the driver needs from the owner that it works for. */
struct WorkerDriverHooks {
  /** True while the owner may extend leases and start tasks. */
  std::function<bool()> has_authority;
  /** Something happened that the planner should see. */
  std::function<void()> on_event;
  /** A worker has seen a later owner. */
  std::function<void()> on_fenced;
  /** Logs each listing in full; for studies, as it is a lot. */
  bool log_listings = false;
};

/** Counts of calls to workers. */
struct WorkerCallCounters {
  uint64_t listings = 0;
  uint64_t failed_listings = 0;
  uint64_t commands = 0;
  uint64_t failed_commands = 0;
};

/** Talks to the workers of a cell: lists each of them again and again, which
 * extends the leases, and carries out commands. */
class WorkerDriver {
 public:
  static std::shared_ptr<WorkerDriver> Make(asio::io_context& io,
                                            const WorkerPort& port,
                                            Scheduler& scheduler,
                                            Epoch epoch,
                                            WorkerDriverHooks hooks);
  ~WorkerDriver();

  /** Follows the workers of the list; stops with those that are gone. */
  void SetWorkers(const std::vector<WorkerInfo>& workers);
  void Send(const StartRunCommand& command);
  void Send(const StopRunCommand& command);
  void Send(const PaceCommand& command);
  /** Sends nothing more; calls in progress end without effect. */
  void Stop();

  const WorkerCallCounters& counters() const;

 private:
  struct Impl;
  explicit WorkerDriver(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> m_impl;
};

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHEDULER_WORKER_DRIVER_H_
