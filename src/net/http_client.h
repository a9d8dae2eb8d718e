#ifndef COWSLIPMAST_SRC_NET_HTTP_CLIENT_H_
#define COWSLIPMAST_SRC_NET_HTTP_CLIENT_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include "cowslipmast/units.h"
#include "cowslipmast/vm.h"
#include "src/net/asio.h"
#include "src/net/http_limits.h"
#include "src/net/http_message.h"
#include "src/net/net_error.h"

namespace cowslipmast {

struct HttpClientCounters {
  uint64_t connects = 0;
  uint64_t reuses = 0;
  uint64_t failures = 0;
  uint64_t shed_responses = 0;  // given up, as all took too much memory
};

/** Tells apart the instances of a server that listen at one address one after
 * the other. */
using ServerInstance = int64_t;
/** Of a server that does not tell its instances apart. */
inline constexpr ServerInstance kUntoldInstance = 0;

/** Returns the instance that sent a response; nothing if it cannot be read. */
using InstanceReader =
    std::function<std::optional<ServerInstance>(const HttpResponse&)>;

/** Asks the server at the other end of a new connection which instance it is. A
 * connection ends with its instance, so that what is sent on it later reaches
 * that instance or none. */
struct InstanceQuery {
  HttpRequest request;
  InstanceReader instance_of;
};

/** How long a call waits for a response that may be large. */
struct TransferTimeouts {
  Duration first_part;  // from the beginning of the call
  Duration next_part;   // since the part before
  Duration whole;       // from the beginning of the call
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

  /** As `Call`, but a response that keeps arriving is not given up: repeating
   * the call would send all of it again over a link that may be full. */
  asio::awaitable<std::optional<HttpResponse>> CallForTransfer(
      Endpoint endpoint,
      HttpRequest request,
      TransferTimeouts timeouts,
      NetError& reason);

  /** Sends the query on a new connection, which is kept for calls to the
   * instance that responds. */
  asio::awaitable<std::optional<HttpResponse>> AskInstance(Endpoint endpoint,
                                                           InstanceQuery query,
                                                           Duration timeout,
                                                           NetError& reason);
  /** As `Call`, but only over connections to `instance`, or to any if it is
   * `kUntoldInstance`. Fails with kOtherInstance, and sends nothing, if another
   * one responds to the query on a new connection. A response to the query
   * other than 200 is returned in place of one to the request, which is not
   * sent either. */
  asio::awaitable<std::optional<HttpResponse>> CallInstance(
      Endpoint endpoint,
      ServerInstance instance,
      InstanceQuery query,
      HttpRequest request,
      Duration timeout,
      NetError& reason);

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
