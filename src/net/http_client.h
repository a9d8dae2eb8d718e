#ifndef COWSLIPMAST_SRC_NET_HTTP_CLIENT_H_
#define COWSLIPMAST_SRC_NET_HTTP_CLIENT_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>

#include "cowslipmast/units.h"
#include "cowslipmast/vm.h"
#include "src/net/asio.h"
#include "src/net/http_message.h"
#include "src/net/net_error.h"

namespace cowslipmast {

struct HttpClientLimits {
  size_t max_response_bytes = 16 * 1024 * 1024;
  size_t idle_connections_per_endpoint = 64;
  /** Short, so that a silently dropped connection is rarely reused. */
  Duration idle_timeout = std::chrono::seconds(15);
  Duration connect_timeout = std::chrono::seconds(1);
};

struct HttpClientCounters {
  uint64_t connects = 0;
  uint64_t reuses = 0;
  uint64_t failures = 0;
};

/** HTTP/1.1 client with a connection pool; no pipelining. */
class HttpClient {
 public:
  static std::unique_ptr<HttpClient> Make(asio::io_context& io,
                                          const HttpClientLimits& limits);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /** Sends a request once and returns the whole answer. Never retries. Fails
   * with kTooLate, and sends nothing, if it cannot begin before
   * `write_before`. */
  asio::awaitable<std::optional<HttpResponse>> Call(
      Endpoint endpoint,
      HttpRequest request,
      Duration timeout,
      NetError& reason,
      std::chrono::steady_clock::time_point write_before =
          std::chrono::steady_clock::time_point::max());

  /** Closes the idle connections to an endpoint. */
  void DropIdle(const Endpoint& endpoint);
  const HttpClientCounters& counters() const;

 private:
  struct Impl;
  explicit HttpClient(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> m_impl;
};

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_NET_HTTP_CLIENT_H_
