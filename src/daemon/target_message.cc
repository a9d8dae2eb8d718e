#include "src/daemon/target_message.h"

#include <string>

#include "src/daemon/caller_headers.h"

namespace cowslipmast {

namespace {

TargetFailureKind KindOf(const NetError& error) {
  if (!error.request_sent)
    return TargetFailureKind::kUnreachable;
  switch (error.kind) {
    case NetErrorKind::kTimeout:
      return TargetFailureKind::kTimeout;
    case NetErrorKind::kBadResponse:
      return TargetFailureKind::kBadResponse;
    case NetErrorKind::kResponseTooLarge:
      return TargetFailureKind::kResponseTooLarge;
    case NetErrorKind::kBadAddress:
    case NetErrorKind::kListenFailed:
    case NetErrorKind::kConnectFailed:
    case NetErrorKind::kConnectionLost:
    case NetErrorKind::kTooLate:
    case NetErrorKind::kOtherInstance:
      return TargetFailureKind::kConnectionLost;
  }
  return TargetFailureKind::kConnectionLost;
}

}  // namespace

HttpRequest MakeTargetRequest(const RouterRequest& request,
                              Duration remaining) {
  HttpRequest message{.method = request.method,
                      .path = request.path,
                      .headers = request.headers,
                      .body = request.body};
  const auto left =
      std::chrono::duration_cast<std::chrono::milliseconds>(remaining);
  message.headers.push_back(
      {std::string(kRequestIdHeader), request.id.value()});
  message.headers.push_back(
      {std::string(kIdempotentHeader), request.idempotent ? "true" : "false"});
  message.headers.push_back(
      {std::string(kDeadlineHeader), std::to_string(left.count())});
  return message;
}

TargetFailure MakeTargetFailure(const NetError& error) {
  return TargetFailure{KindOf(error), error.request_sent};
}

}  // namespace cowslipmast
