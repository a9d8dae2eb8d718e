#include "src/daemon/caller_reply.h"

#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "src/net/http_message.h"

namespace cowslipmast {

namespace {

constexpr const char* kRetryAfterSeconds = "1";

uint16_t HttpStatusFor(const RouterReply& reply) {
  switch (reply.refusal) {
    case RefusalReason::kBadRequest:
      return 400;
    case RefusalReason::kUnknownService:
      return 404;
    case RefusalReason::kTargetTimeout:
    case RefusalReason::kPeerTimeout:
      return 504;
    default:
      return reply.outcome == RequestOutcome::kNotRun ? 503 : 502;
  }
}

// True if the same request is likely to succeed a second later.
bool IsTransient(RefusalReason refusal) {
  switch (refusal) {
    case RefusalReason::kNoFreeSlot:
    case RefusalReason::kQueueFull:
    case RefusalReason::kTargetUnreachable:
    case RefusalReason::kPeerUnreachable:
    case RefusalReason::kDraining:
      return true;
    default:
      return false;
  }
}

// Replaces invalid UTF-8 in text from a caller, which JSON cannot represent.
std::string Dump(const nlohmann::json& json) {
  return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

HttpResponse MakeRefusal(const RouterReply& reply) {
  const nlohmann::json body = {{"outcome", RequestOutcomeName(reply.outcome)},
                               {"reason", RefusalReasonName(reply.refusal)}};
  HttpResponse response = MakeJsonResponse(HttpStatusFor(reply), Dump(body));
  if (reply.outcome == RequestOutcome::kNotRun && IsTransient(reply.refusal))
    response.headers.push_back({"Retry-After", kRetryAfterSeconds});
  return response;
}

void AddOutcome(HttpResponse& response, RequestOutcome outcome) {
  response.headers.push_back(
      {std::string(kOutcomeHeader), std::string(RequestOutcomeName(outcome))});
}

}  // namespace

HttpResponse MakeCallerResponse(RouterReply reply, const RequestId& id) {
  HttpResponse response = reply.outcome == RequestOutcome::kAnswered
                              ? std::move(reply.response)
                              : MakeRefusal(reply);
  response.headers = WithoutCallerHeaders(std::move(response.headers));
  AddOutcome(response, reply.outcome);
  response.headers.push_back({std::string(kRequestIdHeader), id.value()});
  return response;
}

HttpResponse MakeBadHeaderResponse(const BadHeader& bad) {
  const nlohmann::json body = {
      {"outcome", RequestOutcomeName(RequestOutcome::kNotRun)},
      {"reason", RefusalReasonName(RefusalReason::kBadRequest)},
      {"header", bad.header},
      {"found", bad.found},
      {"expected", bad.expected}};
  HttpResponse response = MakeJsonResponse(400, Dump(body));
  AddOutcome(response, RequestOutcome::kNotRun);
  return response;
}

}  // namespace cowslipmast
