#ifndef COWSLIPMAST_STANDINS_WORKER_WORKER_SERVICE_H_
#define COWSLIPMAST_STANDINS_WORKER_WORKER_SERVICE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "src/net/asio.h"
#include "standins/common/fault_server.h"
#include "standins/worker/judge.h"
#include "standins/worker/kind_table.h"
#include "standins/worker/worker.h"

namespace cowslipmast::standins {

struct WorkerServiceOptions {
  WorkerOptions worker;
  Duration drain_limit = std::chrono::seconds(3);
};

/** HTTP interface of all workers of a scenario, and of their judge. */
class WorkerService {
 public:
  WorkerService(asio::io_context& io,
                const std::vector<VmInfo>& workers,
                const KindTable& table,
                const WorkerServiceOptions& options);

  asio::awaitable<FaultAnswer> Handle(HttpRequest request);
  /** Advances all workers at short intervals, until the loop ends. */
  asio::awaitable<void> AdvanceLoop();

 private:
  enum class Reach { kNormal, kSilent, kDown };
  struct Entry {
    std::unique_ptr<Worker> worker;
    Reach reach = Reach::kNormal;
    uint64_t replies_to_lose = 0;
  };

  asio::awaitable<FaultAnswer> HandleWorker(Entry& entry,
                                            std::string action,
                                            HttpRequest request);
  HttpResponse Command(Worker& worker,
                       std::string_view action,
                       const HttpRequest& request);
  HttpResponse TaskCommand(Worker& worker,
                           std::string_view action,
                           const Json& body);
  HttpResponse Control(const HttpRequest& request);
  HttpResponse ControlWorker(const Json& body, const std::string& name);

  asio::io_context& m_io;
  KindTable m_table;
  Judge m_judge;
  std::map<std::string, Entry> m_workers;  // by base path
};

}  // namespace cowslipmast::standins

#endif  // COWSLIPMAST_STANDINS_WORKER_WORKER_SERVICE_H_
