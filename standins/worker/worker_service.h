#ifndef COWSLIPMAST_STANDINS_WORKER_WORKER_SERVICE_H_
#define COWSLIPMAST_STANDINS_WORKER_WORKER_SERVICE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "src/net/asio.h"
#include "standins/common/fault_injection_server.h"
#include "standins/worker/invariant_checker.h"
#include "standins/worker/lease_worker.h"
#include "standins/worker/task_kind_table.h"

namespace cowslipmast::standins {

struct WorkerServiceOptions {
  WorkerOptions worker;
  Duration drain_limit = std::chrono::seconds(3);
};

/** HTTP interface of all workers of a scenario and of the invariant checker. */
class WorkerService {
 public:
  WorkerService(asio::io_context& io,
                const std::vector<VmInfo>& workers,
                const TaskKindTable& table,
                const WorkerServiceOptions& options);

  asio::awaitable<InjectedResponse> Handle(HttpRequest request);
  /** Advances all workers at short intervals until the event loop stops. */
  asio::awaitable<void> AdvanceLoop();

 private:
  enum class Reachability { kNormal, kSilent, kDown };
  struct ServedWorker {
    std::unique_ptr<LeaseWorker> worker;
    Reachability reachability = Reachability::kNormal;
    uint64_t replies_to_lose = 0;
  };

  asio::awaitable<InjectedResponse> HandleWorker(ServedWorker& entry,
                                                 std::string action,
                                                 HttpRequest request);
  HttpResponse HandleCommand(LeaseWorker& worker,
                             std::string_view action,
                             const HttpRequest& request);
  HttpResponse HandleTaskCommand(LeaseWorker& worker,
                                 std::string_view action,
                                 const Json& body);
  HttpResponse ApplyControl(const HttpRequest& request);
  HttpResponse ApplyWorkerControl(const Json& body, const std::string& name);

  asio::io_context& m_io;
  TaskKindTable m_table;
  InvariantChecker m_checker;
  std::map<std::string, ServedWorker> m_workers;  // by base path
};

}  // namespace cowslipmast::standins

#endif  // COWSLIPMAST_STANDINS_WORKER_WORKER_SERVICE_H_
