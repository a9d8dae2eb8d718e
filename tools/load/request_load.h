#ifndef COWSLIPMAST_TOOLS_LOAD_REQUEST_LOAD_H_
#define COWSLIPMAST_TOOLS_LOAD_REQUEST_LOAD_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "src/core/random.h"
#include "src/net/asio.h"
#include "tools/load/caller.h"
#include "tools/load/caller_outcome.h"
#include "tools/load/coroutine_group.h"
#include "tools/load/options.h"

namespace cowslipmast::load {

/** Sends requests at a given rate, or back to back over a number of
 * connections. `http` and `options` must outlive it. */
class RequestLoadGenerator {
 public:
  RequestLoadGenerator(asio::io_context& io,
                       HttpClient& http,
                       const RequestOptions& options);

  /** Returns once all requests have ended. */
  asio::awaitable<void> Run();
  const std::vector<RequestResult>& results() const { return m_results; }

 private:
  bool MaySend() const;
  PlannedRequest Plan();
  asio::awaitable<void> SendOne(PlannedRequest request);
  asio::awaitable<void> SendBackToBack();
  asio::awaitable<void> SendAtRate();

  asio::io_context& m_io;
  const RequestOptions& m_options;
  Caller m_caller;
  CoroutineGroup m_group;
  Random m_random;
  std::string m_id_prefix;
  uint64_t m_sent = 0;
  std::chrono::steady_clock::time_point m_start;
  std::vector<RequestResult> m_results;
};

}  // namespace cowslipmast::load

#endif  // COWSLIPMAST_TOOLS_LOAD_REQUEST_LOAD_H_
