#include "src/daemon/caller_reply.h"

#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "src/net/http_message.h"

namespace cowslipmast {

namespace {

constexpr const char* kRetryAfterSeconds = "1";

uint16_t HttpStatusFor(const DeskReply& reply) {
  switch (reply.refusal) {
    case DeskRefusal::kBadRequest:
      return 400;
    case DeskRefusal::kUnknownService:
      return 404;
    case DeskRefusal::kTargetTimeout:
    case DeskRefusal::kPeerTimeout:
      return 504;
    default:
      return reply.outcome == DeskOutcome::kNotRun ? 503 : 502;
  }
}

// True if the same request is likely to succeed a second later.
bool IsTransient(DeskRefusal refusal) {
  switch (refusal) {
    case DeskRefusal::kNoFreeSlot:
    case DeskRefusal::kQueueFull:
    case DeskRefusal::kTargetUnreachable:
    case DeskRefusal::kPeerUnreachable:
    case DeskRefusal::kDraining:
      return true;
    default:
      return false;
  }
}

// Replaces invalid UTF-8 in text from a caller, which JSON cannot represent.
std::string Dump(const nlohmann::json& json) {
  return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

HttpResponse MakeRefusal(const DeskReply& reply) {
  const nlohmann::json body = {{"outcome", DeskOutcomeName(reply.outcome)},
                               {"reason", DeskRefusalName(reply.refusal)}};
  HttpResponse response = MakeJsonResponse(HttpStatusFor(reply), Dump(body));
  if (reply.outcome == DeskOutcome::kNotRun && IsTransient(reply.refusal))
    response.headers.push_back({"Retry-After", kRetryAfterSeconds});
  return response;
}

void AddOutcome(HttpResponse& response, DeskOutcome outcome) {
  response.headers.push_back(
      {std::string(kOutcomeHeader), std::string(DeskOutcomeName(outcome))});
}

}  // namespace

HttpResponse MakeCallerResponse(DeskReply reply, const RequestId& id) {
  HttpResponse response = reply.outcome == DeskOutcome::kAnswered
                              ? std::move(reply.response)
                              : MakeRefusal(reply);
  response.headers = WithoutCallerHeaders(std::move(response.headers));
  AddOutcome(response, reply.outcome);
  response.headers.push_back({std::string(kRequestIdHeader), id.value()});
  return response;
}

HttpResponse MakeBadHeaderResponse(const BadHeader& bad) {
  const nlohmann::json body = {
      {"outcome", DeskOutcomeName(DeskOutcome::kNotRun)},
      {"reason", DeskRefusalName(DeskRefusal::kBadRequest)},
      {"header", bad.header},
      {"found", bad.found},
      {"expected", bad.expected}};
  HttpResponse response = MakeJsonResponse(400, Dump(body));
  AddOutcome(response, DeskOutcome::kNotRun);
  return response;
}

}  // namespace cowslipmast
