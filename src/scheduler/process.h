#ifndef COWSLIPMAST_SRC_SCHEDULER_PROCESS_H_
#define COWSLIPMAST_SRC_SCHEDULER_PROCESS_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "src/net/asio.h"
#include "src/net/http_client.h"
#include "src/net/http_server.h"
#include "src/scheduler/cell_chart.h"
#include "src/scheduler/job_service.h"
#include "src/scheduler/ports.h"

namespace cowslipmast::sched {

/** Checked settings of a scheduler process. */
struct ProcessSettings {
  ProcessId process;
  Endpoint callers;
  Endpoint readiness;
  Endpoint control;             // other processes, metrics and the dump
  std::vector<Endpoint> seeds;  // control addresses of some processes
  Duration lease{0};
  Duration stop_grace{0};  // between SIGTERM and SIGKILL
  double cores = 1.0;      // processor share of the VM
  size_t body_bytes = 0;   // of a call, at most
  uint64_t seed = 0;
  bool log_listings = false;  // every listing of a worker, in full
};

/** The platform that the process runs on. */
struct PlatformPorts {
  StorePort store;
  WorkerPort workers;
  RecordReaders readers;
  /** Answers a caller. */
  std::function<
      asio::awaitable<HttpResponse>(HttpRequest, const Manifest&, JobService&)>
      answer_caller;
};

enum class StartErrorKind { kListen };

struct StartError {
  StartErrorKind kind = StartErrorKind::kListen;
  std::string setting;
  std::string detail;
};

/** One process: serves callers, and owns the cell if nobody else does. */
class SchedulerProcess {
 public:
  static std::unique_ptr<SchedulerProcess> Make(asio::io_context& io,
                                                HttpClient& peers,
                                                const ProcessSettings& settings,
                                                const PlatformPorts& ports,
                                                const CellChart& chart,
                                                StartError& reason);
  ~SchedulerProcess();

  /** Planned stop: `on_stopped` is called when no request is in progress. */
  void Terminate(std::function<void()> on_stopped);

 private:
  struct Impl;
  explicit SchedulerProcess(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> m_impl;
};

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHEDULER_PROCESS_H_
