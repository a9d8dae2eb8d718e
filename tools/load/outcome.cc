#include "tools/load/outcome.h"

#include <nlohmann/json.hpp>

#include "standins/target/answer_body.h"

namespace cowslipmast::load {

const char* OutcomeName(Outcome outcome) {
  switch (outcome) {
    case Outcome::kAnswered:
      return "answered";
    case Outcome::kNotRun:
      return "not_run";
    case Outcome::kUnknown:
      return "unknown";
    case Outcome::kBroken:
      return "broken";
    case Outcome::kNoAnswer:
      return "no_answer";
    case Outcome::kNotSent:
      return "not_sent";
    case Outcome::kUnlabelled:
      return "unlabelled";
  }
  return "";
}

Outcome OutcomeOf(const HttpResponse& response) {
  const auto label = FindHeader(response.headers, "Cowslipmast-Outcome");
  if (label == "answered")
    return Outcome::kAnswered;
  if (label == "not-run")
    return Outcome::kNotRun;
  if (label == "unknown")
    return Outcome::kUnknown;
  return Outcome::kUnlabelled;
}

std::string ReasonOf(const HttpResponse& response) {
  const auto json = nlohmann::json::parse(response.body, nullptr, false);
  return json.is_object() ? json.value("reason", "") : "";
}

Outcome OutcomeOf(const NetError& error) {
  if (!error.request_sent)
    return Outcome::kNotSent;
  return error.kind == NetErrorKind::kTimeout ? Outcome::kNoAnswer
                                              : Outcome::kBroken;
}

bool IsIntact(const HttpResponse& response, const PlannedRequest& request) {
  const auto id = FindHeader(response.headers, "Cowslipmast-Request-Id");
  if (id && *id != request.id)
    return false;
  return response.status != 200 ||
         standins::IsAnswerBody(response.body, request.id,
                                request.answer_bytes);
}

}  // namespace cowslipmast::load
