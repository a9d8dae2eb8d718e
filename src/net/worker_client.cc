#include "src/net/worker_client.h"

#include <optional>
#include <utility>
#include <variant>

#include "src/net/net_error.h"
#include "src/net/worker_json.h"

namespace cowslipmast {

namespace {

WorkerReply ReadReply(const HttpResponse& response, bool is_list) {
  WorkerReply reply;
  if (response.status == 409) {
    const auto refusal = ParseWorkerRefusal(response.body);
    if (!refusal)
      return reply;
    reply.kind = WorkerReplyKind::kRefused;
    reply.refusal = *refusal;
    return reply;
  }
  if (response.status == 400 || response.status == 404) {
    reply.kind = WorkerReplyKind::kRefused;
    reply.refusal = WorkerRefusal::kBadRequest;
    return reply;
  }
  if (response.status != 200)
    return reply;
  if (is_list)
    reply.report = ParseWorkerReport(response.body);
  if (!is_list || reply.report)
    reply.kind = WorkerReplyKind::kOk;
  return reply;
}

}  // namespace

WorkerClient::WorkerClient(HttpClient& http) : m_http(http) {}

std::unique_ptr<WorkerClient> WorkerClient::Make(HttpClient& http) {
  return std::unique_ptr<WorkerClient>(new WorkerClient(http));
}

asio::awaitable<WorkerReply> WorkerClient::Call(WorkerAddress address,
                                                WorkerCommand command,
                                                Duration timeout) {
  const bool is_list = std::holds_alternative<ListCommand>(command.action);
  HttpRequest request = MakeWorkerRequest(address.base_path, command);
  NetError reason;
  const std::optional<HttpResponse> response = co_await m_http.Call(
      address.endpoint, std::move(request), timeout, reason);
  if (response)
    co_return ReadReply(*response, is_list);
  WorkerReply reply;
  reply.kind =
      reason.request_sent ? WorkerReplyKind::kLost : WorkerReplyKind::kNotSent;
  co_return reply;
}

}  // namespace cowslipmast
