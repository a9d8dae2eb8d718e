#ifndef COWSLIPMAST_STANDINS_TARGET_TARGET_SERVICE_H_
#define COWSLIPMAST_STANDINS_TARGET_TARGET_SERVICE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "src/core/random.h"
#include "src/net/asio.h"
#include "standins/common/fault_injection_server.h"
#include "standins/target/service_time.h"
#include "standins/target/target_run_tracker.h"

namespace cowslipmast::standins {

struct TargetServiceOptions {
  Duration service_time = std::chrono::milliseconds(20);
  Distribution distribution = Distribution::kConstant;
  uint64_t seed = 1;
};

enum class TargetMode {
  kNormal,
  kSilent,          // neither runs nor answers requests
  kFailing,         // runs the request and answers 500
  kTruncated,       // runs the request and sends half of the response
  kDropConnection,  // runs the request and closes the connection
  kLeaving,         // answers 503 with `Connection: close`, runs nothing
};

/** HTTP interface of all targets of a scenario, and their control port. */
class TargetService {
 public:
  TargetService(asio::io_context& io,
                const std::vector<VmInfo>& targets,
                const TargetServiceOptions& options);

  /** Serves a request to the target with index `target`. */
  asio::awaitable<InjectedResponse> Handle(size_t target, HttpRequest request);
  /** Serves a request to the control port. */
  asio::awaitable<InjectedResponse> HandleControl(HttpRequest request);

 private:
  struct Behaviour {
    TargetMode mode = TargetMode::kNormal;
    Duration extra{0};  // added to each service time
  };

  asio::awaitable<InjectedResponse> Run(size_t target, HttpRequest request);
  asio::awaitable<void> Sleep(Duration time);
  HttpResponse ApplyControl(const HttpRequest& request);
  HttpResponse RespondWithRunCounts(const HttpRequest& request) const;

  asio::io_context& m_io;
  TargetRunTracker m_tracker;
  std::vector<Behaviour> m_behaviours;
  TargetServiceOptions m_options;
  Random m_random;
};

}  // namespace cowslipmast::standins

#endif  // COWSLIPMAST_STANDINS_TARGET_TARGET_SERVICE_H_
