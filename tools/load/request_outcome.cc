#include "tools/load/request_outcome.h"

#include <nlohmann/json.hpp>

#include "standins/target/answer_body.h"

namespace cowslipmast::load {

const char* RequestOutcomeName(RequestOutcome outcome) {
  switch (outcome) {
    case RequestOutcome::kAnswered:
      return "answered";
    case RequestOutcome::kNotRun:
      return "not_run";
    case RequestOutcome::kUnknown:
      return "unknown";
    case RequestOutcome::kConnectionLost:
      return "broken";
    case RequestOutcome::kTimedOut:
      return "no_answer";
    case RequestOutcome::kNotSent:
      return "not_sent";
    case RequestOutcome::kMissingOutcomeHeader:
      return "unlabelled";
  }
  return "";
}

RequestOutcome OutcomeOf(const HttpResponse& response) {
  const auto label = FindHeader(response.headers, "Cowslipmast-Outcome");
  if (label == "answered")
    return RequestOutcome::kAnswered;
  if (label == "not-run")
    return RequestOutcome::kNotRun;
  if (label == "unknown")
    return RequestOutcome::kUnknown;
  return RequestOutcome::kMissingOutcomeHeader;
}

std::string ReasonOf(const HttpResponse& response) {
  const auto json = nlohmann::json::parse(response.body, nullptr, false);
  return json.is_object() ? json.value("reason", "") : "";
}

RequestOutcome OutcomeOf(const NetError& error) {
  if (!error.request_sent)
    return RequestOutcome::kNotSent;
  return error.kind == NetErrorKind::kTimeout ? RequestOutcome::kTimedOut
                                              : RequestOutcome::kConnectionLost;
}

bool IsIntact(const HttpResponse& response, const PlannedRequest& request) {
  const auto id = FindHeader(response.headers, "Cowslipmast-Request-Id");
  if (id && *id != request.id)
    return false;
  return response.status != 200 ||
         standins::IsCompleteAnswerBody(response.body, request.id,
                                        request.answer_bytes);
}

}  // namespace cowslipmast::load
