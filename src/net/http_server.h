#ifndef COWSLIPMAST_SRC_NET_HTTP_SERVER_H_
#define COWSLIPMAST_SRC_NET_HTTP_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include "cowslipmast/vm.h"
#include "src/net/asio.h"
#include "src/net/http_limits.h"
#include "src/net/http_message.h"
#include "src/net/net_error.h"

namespace cowslipmast {

struct HttpServerCounters {
  uint64_t requests = 0;
  uint64_t bad_requests = 0;
  uint64_t oversized_requests = 0;
  uint64_t refused_connections = 0;   // a request was handled on all others
  uint64_t replaced_connections = 0;  // gave way to new ones
  uint64_t shed_requests = 0;  // given up, as all together took too much memory
  uint64_t failed_handlers = 0;  // requests whose handler threw an exception
};

using HttpHandler = std::function<asio::awaitable<HttpResponse>(HttpRequest)>;

/** HTTP/1.1 server on one io_context; no pipelining. */
class HttpServer {
 public:
  /** Starts to listen. Port 0 selects a free port. */
  static std::unique_ptr<HttpServer> Make(asio::io_context& io,
                                          const Endpoint& endpoint,
                                          const HttpServerLimits& limits,
                                          HttpHandler handler,
                                          NetError& reason);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  uint16_t port() const;
  const HttpServerCounters& counters() const;
  /** Number of requests read whose response is not fully sent. */
  size_t in_progress() const;
  size_t connections() const;

  /** Closes each connection after its next response. */
  void CloseAfterResponse();
  /** Stops accepting connections and closes the idle ones. */
  void StopAccepting();

 private:
  struct Impl;
  explicit HttpServer(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> m_impl;
};

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_NET_HTTP_SERVER_H_
