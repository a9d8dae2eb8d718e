#ifndef COWSLIPMAST_TOOLS_LOAD_LOAD_RUN_H_
#define COWSLIPMAST_TOOLS_LOAD_LOAD_RUN_H_

#include "src/net/asio.h"
#include "src/net/http_client.h"
#include "tools/load/options.h"
#include "tools/load/report.h"

namespace cowslipmast::load {

/** Sends all requests and jobs, then compares the responses with what the
 * stand-ins recorded. */
asio::awaitable<LoadReport> RunLoad(asio::io_context& io,
                                    HttpClient& http,
                                    const LoadOptions& options);

}  // namespace cowslipmast::load

#endif  // COWSLIPMAST_TOOLS_LOAD_LOAD_RUN_H_
