#include "tools/load/caller_outcome.h"

#include <nlohmann/json.hpp>

#include "standins/target/answer_body.h"

namespace cowslipmast::load {

const char* CallerOutcomeName(CallerOutcome outcome) {
  switch (outcome) {
    case CallerOutcome::kAnswered:
      return "answered";
    case CallerOutcome::kNotRun:
      return "not_run";
    case CallerOutcome::kUnknown:
      return "unknown";
    case CallerOutcome::kConnectionLost:
      return "broken";
    case CallerOutcome::kTimedOut:
      return "no_answer";
    case CallerOutcome::kNotSent:
      return "not_sent";
    case CallerOutcome::kMissingOutcomeHeader:
      return "unlabelled";
  }
  return "";
}

CallerOutcome OutcomeOf(const HttpResponse& response) {
  const auto label = FindHeader(response.headers, "Cowslipmast-Outcome");
  if (label == "answered")
    return CallerOutcome::kAnswered;
  if (label == "not-run")
    return CallerOutcome::kNotRun;
  if (label == "unknown")
    return CallerOutcome::kUnknown;
  return CallerOutcome::kMissingOutcomeHeader;
}

std::string ReasonOf(const HttpResponse& response) {
  const auto json = nlohmann::json::parse(response.body, nullptr, false);
  return json.is_object() ? json.value("reason", "") : "";
}

CallerOutcome OutcomeOf(const NetError& error) {
  if (!error.request_sent)
    return CallerOutcome::kNotSent;
  return error.kind == NetErrorKind::kTimeout ? CallerOutcome::kTimedOut
                                              : CallerOutcome::kConnectionLost;
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
