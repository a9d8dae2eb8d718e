#ifndef COWSLIPMAST_TOOLS_LOAD_CALLER_H_
#define COWSLIPMAST_TOOLS_LOAD_CALLER_H_

#include <cstddef>

#include "src/net/asio.h"
#include "src/net/http_client.h"
#include "tools/load/caller_outcome.h"
#include "tools/load/options.h"

namespace cowslipmast::load {

/** Sends requests like callers behind a load balancer: to the entry processes
 * in turn, and to the next one if nothing could be sent. `http` and `options`
 * must outlive it. */
class Caller {
 public:
  Caller(HttpClient& http, const RequestOptions& options);

  asio::awaitable<RequestResult> Send(PlannedRequest request);

 private:
  HttpClient& m_http;
  const RequestOptions& m_options;
  size_t m_next_entry = 0;
};

}  // namespace cowslipmast::load

#endif  // COWSLIPMAST_TOOLS_LOAD_CALLER_H_
