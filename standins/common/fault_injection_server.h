#ifndef COWSLIPMAST_STANDINS_COMMON_FAULT_INJECTION_SERVER_H_
#define COWSLIPMAST_STANDINS_COMMON_FAULT_INJECTION_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

#include "cowslipmast/vm.h"
#include "src/net/asio.h"
#include "src/net/http_message.h"
#include "src/net/net_error.h"

namespace cowslipmast::standins {

/** How much of a response reaches the client. */
enum class ResponseDelivery {
  kComplete,
  kCompleteThenClose,  // complete, with `Connection: close`
  kTruncated,          // half of the body, then the connection is closed
  kDropConnection,     // nothing, the connection is closed
};

struct InjectedResponse {
  HttpResponse response;
  ResponseDelivery delivery = ResponseDelivery::kComplete;
};

using FaultInjectionHandler =
    std::function<asio::awaitable<InjectedResponse>(HttpRequest)>;

/** HTTP/1.1 server that can truncate or drop responses. Serves one request at a
 * time per connection. Separate from HttpServer, which must not be able to do
 * this. */
class FaultInjectionServer {
 public:
  /** Starts to listen; port 0 selects a free port. Returns null and sets
   * `reason` on failure. */
  static std::unique_ptr<FaultInjectionServer> Make(
      asio::io_context& io,
      const Endpoint& endpoint,
      FaultInjectionHandler handler,
      NetError& reason);
  ~FaultInjectionServer();
  FaultInjectionServer(const FaultInjectionServer&) = delete;
  FaultInjectionServer& operator=(const FaultInjectionServer&) = delete;

  uint16_t port() const;

 private:
  struct Impl;
  explicit FaultInjectionServer(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> m_impl;
};

}  // namespace cowslipmast::standins

#endif  // COWSLIPMAST_STANDINS_COMMON_FAULT_INJECTION_SERVER_H_
