#ifndef COWSLIPMAST_SRC_NET_WORKER_CLIENT_H_
#define COWSLIPMAST_SRC_NET_WORKER_CLIENT_H_

#include <memory>
#include <string>

#include "cowslipmast/units.h"
#include "cowslipmast/vm.h"
#include "cowslipmast/worker_commands.h"
#include "src/net/asio.h"
#include "src/net/http_client.h"

namespace cowslipmast {

/** Address of the HTTP API of a worker. */
struct WorkerAddress {
  Endpoint endpoint;
  std::string base_path;
};

/** Client of the platform's workers. */
class WorkerClient {
 public:
  /** `http` must outlive the client. */
  static std::unique_ptr<WorkerClient> Make(HttpClient& http);
  ~WorkerClient() = default;

  /** Sends a command once. Never fails; see WorkerReplyKind. */
  asio::awaitable<WorkerReply> Call(WorkerAddress address,
                                    WorkerCommand command,
                                    Duration timeout);

 private:
  explicit WorkerClient(HttpClient& http);
  HttpClient& m_http;
};

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_NET_WORKER_CLIENT_H_
