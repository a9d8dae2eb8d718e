#ifndef COWSLIPMAST_SRC_SCHEDULER_PROCESS_SCHEDULER_PROCESS_H_
#define COWSLIPMAST_SRC_SCHEDULER_PROCESS_SCHEDULER_PROCESS_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "src/net/asio.h"
#include "src/net/http_client.h"
#include "src/net/http_server.h"
#include "src/scheduler_process/cell_chart.h"
#include "src/scheduler_process/job_service.h"
#include "src/scheduler_process/platform_ports.h"

namespace cowslipmast::sched {

/** Validated settings of a scheduler process. */
struct ProcessSettings {
  ProcessId process;
  Endpoint caller_endpoint;
  Endpoint readiness_endpoint;
  Endpoint control_endpoint;  // for other processes, /metrics and /dump
  // Control addresses of some processes, possibly stale.
  std::vector<Endpoint> seed_endpoints;
  Duration lease{0};
  Duration stop_grace{0};         // time between SIGTERM and SIGKILL
  double cores = 1.0;             // processor share of this VM
  size_t max_body_bytes = 0;      // limit for the body of a caller's request
  size_t workers_per_cell = 200;  // for a system that starts for the first time
  uint64_t seed = 0;
  bool log_listings = false;  // log every listing of a worker in full
  SchedulerFeatures features;
};

/** Interfaces to the platform that the process runs on. */
struct PlatformPorts {
  StorePort store;
  WorkerPort workers;
  RecordDecoders decoders;
  /** Handles a caller's request. */
  std::function<
      asio::awaitable<HttpResponse>(HttpRequest, const Manifest&, JobService&)>
      handle_caller_request;
};

enum class StartErrorKind { kListen };

struct StartError {
  StartErrorKind kind = StartErrorKind::kListen;
  std::string setting;
  std::string detail;
};

/** A scheduler process: serves callers, and owns cells that no other process
 * owns. */
class SchedulerProcess {
 public:
  static std::unique_ptr<SchedulerProcess> Make(asio::io_context& io,
                                                HttpClient& peers,
                                                const ProcessSettings& settings,
                                                const PlatformPorts& ports,
                                                const CellChart& chart,
                                                StartError& reason);
  ~SchedulerProcess();

  /** Starts a planned stop; `on_stopped` is called when no request is in
   * progress or the grace time is nearly over. */
  void Terminate(const std::function<void()>& on_stopped);

 private:
  struct Impl;
  explicit SchedulerProcess(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> m_impl;
};

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHEDULER_PROCESS_SCHEDULER_PROCESS_H_
