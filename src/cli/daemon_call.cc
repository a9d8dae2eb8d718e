#include "src/cli/daemon_call.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>

namespace cowslipmast {

namespace {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr Duration kCallTimeout = std::chrono::seconds(5);
constexpr Duration kRetryPause = std::chrono::milliseconds(200);

// Other statuses, such as 502 and 504 of a proxy, do not tell whether the
// request took effect.
ExitCode ExitCodeOfStatus(uint16_t status, bool has_effect) {
  if (status >= 200 && status < 300)
    return ExitCode::kOk;
  switch (status) {
    case 404:
      return ExitCode::kNotFound;
    case 409:
      return ExitCode::kConflict;
    case 503:
      return ExitCode::kUnavailable;
    case 400:
    case 413:
    case 422:
      return ExitCode::kInvalidInput;
    default:
      return has_effect ? ExitCode::kUnknownOutcome : ExitCode::kUnavailable;
  }
}

// True if a 503 says that the request was not executed. Other 503s mean that a
// record was sent but not read back in time.
bool WasNotExecuted(const HttpResponse& response) {
  if (response.status != 503)
    return false;
  const Json body = Json::parse(response.body, nullptr, false);
  if (!body.is_object() || !body.contains("error"))
    return false;
  const Json& error = body["error"];
  return error == "busy" || error == "draining" || error == "starting";
}

CommandResult MakeResponseResult(const HttpResponse& response,
                                 bool has_effect) {
  CommandResult result;
  result.code = ExitCodeOfStatus(response.status, has_effect);
  const Json body = Json::parse(response.body, nullptr, false);
  const std::string shown =
      body.is_discarded()
          ? response.body
          : body.dump(2, ' ', false, Json::error_handler_t::replace);
  if (result.code != ExitCode::kOk)
    result.text = "the process returned HTTP status " +
                  std::to_string(response.status) + ": ";
  result.text += shown;
  if (result.text.empty() || result.text.back() != '\n')
    result.text += '\n';
  result.data["status"] = response.status;
  result.data["answer"] = body.is_discarded() ? Json(response.body) : body;
  return result;
}

CommandResult MakeNoResponseResult(const std::string& change,
                                   bool sent,
                                   const NetError& reason) {
  std::string why(NetErrorName(reason.kind));
  if (!reason.detail.empty())
    why += ": " + reason.detail;
  CommandResult result =
      sent && !change.empty()
          ? MakeResult(ExitCode::kUnknownOutcome,
                       "it is not known whether " + change + " took effect (" +
                           why + "). Run the same command with this id again.")
          : MakeResult(ExitCode::kUnavailable,
                       "the process cannot be reached (" + why +
                           "); nothing was changed");
  result.data["error"] = NetErrorName(reason.kind);
  return result;
}

// A response that leaves the effect of the request open is not final; the
// request is sent again.
bool IsFinalResponse(const HttpResponse& response, bool has_effect) {
  const ExitCode code = ExitCodeOfStatus(response.status, has_effect);
  return code != ExitCode::kUnavailable && code != ExitCode::kUnknownOutcome;
}

}  // namespace

CommandCoroutine CallDaemon(CommandContext context,
                            HttpRequest request,
                            std::string change) {
  const auto deadline = Clock::now() + context.options.timeout;
  const bool has_effect = !change.empty();
  bool sent = false;
  NetError reason;
  std::optional<HttpResponse> response;
  asio::steady_timer timer(co_await asio::this_coro::executor);
  while (true) {
    const auto left =
        std::chrono::duration_cast<Duration>(deadline - Clock::now());
    if (left <= Duration(0))
      break;
    const Duration timeout = std::min(left, kCallTimeout);
    const Endpoint endpoint = *context.options.daemon;
    reason = NetError();
    auto answer =
        co_await context.http.Call(endpoint, request, timeout, reason);
    if (answer && IsFinalResponse(*answer, has_effect))
      co_return MakeResponseResult(*answer, has_effect);
    sent = sent || (answer ? !WasNotExecuted(*answer) : reason.request_sent);
    response = std::move(answer);
    timer.expires_after(std::min(kRetryPause, left));
    co_await timer.async_wait(asio::use_awaitable);
  }
  if (response && !(sent && has_effect))
    co_return MakeResponseResult(*response, has_effect);
  co_return MakeNoResponseResult(change, sent, reason);
}

}  // namespace cowslipmast
