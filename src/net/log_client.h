#ifndef COWSLIPMAST_SRC_NET_LOG_CLIENT_H_
#define COWSLIPMAST_SRC_NET_LOG_CLIENT_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cowslipmast/ids.h"
#include "cowslipmast/units.h"
#include "cowslipmast/vm.h"
#include "src/net/asio.h"
#include "src/net/http_client.h"
#include "src/net/net_error.h"

namespace cowslipmast {

struct LogEntry {
  LogOffset offset;
  std::string data;
};

/** Result of one read of a log stream. */
struct LogPage {
  LogOffset oldest;      // first entry that is still stored
  LogOffset end;         // offset of the next entry to be appended
  bool expired = false;  // the requested offset is before `oldest`
  std::vector<LogEntry> entries;
  /** No entry at or after `end` had been accepted at this time. */
  std::chrono::steady_clock::time_point asked_at;
};

/** Client of the platform's log service. */
class LogClient {
 public:
  /** `http` must outlive the client. */
  static std::unique_ptr<LogClient> Make(HttpClient& http,
                                         const Endpoint& store);
  ~LogClient();

  /** Appends one entry. If it fails with `request_sent`, the entry may still
   * have been appended. */
  asio::awaitable<std::optional<LogOffset>> Append(StreamId stream,
                                                   std::string data,
                                                   Duration timeout,
                                                   NetError& reason);

  /** Reads from an offset; waits up to `wait` while there is nothing to read.
   */
  asio::awaitable<std::optional<LogPage>> Read(StreamId stream,
                                               LogOffset from,
                                               uint32_t max_entries,
                                               Duration wait,
                                               Duration timeout,
                                               NetError& reason);

 private:
  LogClient(HttpClient& http, const Endpoint& store);
  HttpClient& m_http;
  Endpoint m_store;
};

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_NET_LOG_CLIENT_H_
