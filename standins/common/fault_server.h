#ifndef COWSLIPMAST_STANDINS_COMMON_FAULT_SERVER_H_
#define COWSLIPMAST_STANDINS_COMMON_FAULT_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

#include "cowslipmast/vm.h"
#include "src/net/asio.h"
#include "src/net/http_message.h"
#include "src/net/net_error.h"

namespace cowslipmast::standins {

/** How much of an answer reaches the caller. */
enum class Delivery {
  kWhole,
  kWholeThenClose,  // with `Connection: close`
  kCutShort,        // half of the body, then the connection is closed
  kClose,           // nothing, the connection is closed
};

struct FaultAnswer {
  HttpResponse response;
  Delivery delivery = Delivery::kWhole;
};

using FaultHandler = std::function<asio::awaitable<FaultAnswer>(HttpRequest)>;

/** HTTP/1.1 server that can break off answers; one request at a time per
 * connection. Kept apart from HttpServer, which must not be able to do this. */
class FaultServer {
 public:
  /** Starts to listen. Port 0 takes a free port. */
  static std::unique_ptr<FaultServer> Make(asio::io_context& io,
                                           const Endpoint& endpoint,
                                           FaultHandler handler,
                                           NetError& reason);
  ~FaultServer();
  FaultServer(const FaultServer&) = delete;
  FaultServer& operator=(const FaultServer&) = delete;

  uint16_t port() const;

 private:
  struct Impl;
  explicit FaultServer(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> m_impl;
};

}  // namespace cowslipmast::standins

#endif  // COWSLIPMAST_STANDINS_COMMON_FAULT_SERVER_H_
