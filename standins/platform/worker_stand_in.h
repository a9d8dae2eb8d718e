#ifndef COWSLIPMAST_STANDINS_PLATFORM_WORKER_STAND_IN_H_
#define COWSLIPMAST_STANDINS_PLATFORM_WORKER_STAND_IN_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "src/net/asio.h"
#include "src/net/http_server.h"

namespace cowslipmast::platform {

/** What all workers did, and which violations of the invariants were seen. */
struct RunObservations {
  std::vector<std::string> violations;
  std::map<std::string, int> starts;  // number of starts, by task
  std::map<std::string, std::set<std::string>>
      running;  // workers that run it, by task
  std::map<std::string, std::set<std::string>>
      workers;  // workers that ever ran it, by task
  std::set<std::string> done;
};

/** Test double of a worker: runs tasks for a fixed time under leases. */
class WorkerStandIn {
 public:
  /** Listens on a free port of 127.0.0.1; null if it cannot. `observations`
   * must outlive it. */
  static std::unique_ptr<WorkerStandIn> Make(asio::io_context& io,
                                             const std::string& id,
                                             const std::string& rack,
                                             RunObservations& observations);
  ~WorkerStandIn();

  /** The entry that a worker writes to the store to announce itself. */
  std::string StoreEntry() const;
  /** The entry with which it announces that it leaves. */
  std::string DrainingStoreEntry() const;
  const std::string& id() const;
  /** Duration of tasks that start from now on. */
  void SetTaskDuration(std::chrono::milliseconds task_duration);
  /** The worker starts again under its id and address, without a sign to its
   * callers: calls in progress stay silent. What it ran is gone, and so are the
   * ends that were not acknowledged. False if it cannot listen again. */
  bool Restart();
  /** From now on each start of a task of this job crashes the worker, which
   * listens again after `downtime` as a new instance. */
  void SetDeadlyJob(const std::string& job, std::chrono::milliseconds downtime);
  /** True after a crash until the worker listens again. */
  bool IsDown() const;
  /** While set, the worker neither carries out requests nor responds, also not
   * to requests that it received before. */
  void SetUnresponsive(bool unresponsive);
  /** While set, the worker carries out starts without responding. */
  void SetDropStartResponses(bool drop);

 private:
  struct Impl;
  explicit WorkerStandIn(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> m_impl;
};

}  // namespace cowslipmast::platform

#endif  // COWSLIPMAST_STANDINS_PLATFORM_WORKER_STAND_IN_H_
