#ifndef COWSLIPMAST_SRC_NET_HTTP_LIMITS_H_
#define COWSLIPMAST_SRC_NET_HTTP_LIMITS_H_

#include <chrono>
#include <cstddef>

#include "cowslipmast/units.h"

namespace cowslipmast {

/** What clients of one server may use; docs/configuration.md lists them. */
struct HttpServerLimits {
  /** Of the request line with the header; also of a chunk's extension and of
   * the trailers. */
  size_t header_bytes = 16 * 1024;
  size_t body_bytes = 1024 * 1024;
  /** Memory of all requests that are being read or handled. */
  size_t request_memory_bytes = 24 * 1024 * 1024;
  /** At most half of the process's descriptors count, whatever this says. */
  size_t connections = 4096;
  Duration idle_timeout = std::chrono::seconds(75);
  /** Timeout of reading a whole request, so that a slow sender cannot occupy
   * memory. */
  Duration read_timeout = std::chrono::seconds(10);
  Duration write_timeout = std::chrono::seconds(10);
};

/** What the servers that a client calls may use. */
struct HttpClientLimits {
  /** Of the status line with the header; also of a chunk's extension and of the
   * trailers. */
  size_t header_bytes = 16 * 1024;
  size_t max_response_bytes = 16 * 1024 * 1024;
  /** Memory of all responses that are being read. */
  size_t response_memory_bytes = 24 * 1024 * 1024;
  size_t idle_connections_per_endpoint = 64;
  /** Short, so that a silently dropped connection is rarely reused. */
  Duration idle_timeout = std::chrono::seconds(15);
  Duration connect_timeout = std::chrono::seconds(1);
};

/** Size of a read buffer: the header at once and the begin of what follows. It
 * also bounds what the parser collects of a chunk's extension and trailers. */
constexpr size_t ReadBufferSize(size_t header_bytes) {
  return header_bytes + 4096;
}

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_NET_HTTP_LIMITS_H_
