#ifndef COWSLIPMAST_TOOLS_LOAD_CALLER_OUTCOME_H_
#define COWSLIPMAST_TOOLS_LOAD_CALLER_OUTCOME_H_

#include <cstddef>
#include <string>

#include "cowslipmast/units.h"
#include "src/net/http_message.h"
#include "src/net/net_error.h"

namespace cowslipmast::load {

/** Outcome of a request as its caller sees it. */
enum class CallerOutcome {
  kAnswered,
  kNotRun,
  kUnknown,
  kConnectionLost,       // connection lost after the request was sent
  kTimedOut,             // no response within the deadline and a margin
  kNotSent,              // no entry process could be reached
  kMissingOutcomeHeader  // response without a valid Cowslipmast-Outcome
};

inline constexpr CallerOutcome kAllCallerOutcomes[] = {
    CallerOutcome::kAnswered,
    CallerOutcome::kNotRun,
    CallerOutcome::kUnknown,
    CallerOutcome::kConnectionLost,
    CallerOutcome::kTimedOut,
    CallerOutcome::kNotSent,
    CallerOutcome::kMissingOutcomeHeader};

const char* CallerOutcomeName(CallerOutcome outcome);

struct PlannedRequest {
  std::string id;
  bool idempotent = false;
  size_t answer_bytes = 0;
};

struct RequestResult {
  PlannedRequest request;
  CallerOutcome outcome = CallerOutcome::kNotSent;
  uint16_t status = 0;
  std::string reason;  // why it was not answered, if the entry process said so
  bool intact = true;  // the response is complete and belongs to this request
  Duration latency{0};
  uint64_t failovers = 0;  // entry processes that could not be reached
};

/** Reads the outcome that an entry process reported. */
CallerOutcome OutcomeOf(const HttpResponse& response);
/** Reads the reason for an outcome other than "answered"; empty if there is
 * none. */
std::string ReasonOf(const HttpResponse& response);
/** Returns the outcome of a request that got no response. */
CallerOutcome OutcomeOf(const NetError& error);

/** True if a response has the id of its request and, with status 200, the
 * complete body. */
bool IsIntact(const HttpResponse& response, const PlannedRequest& request);

}  // namespace cowslipmast::load

#endif  // COWSLIPMAST_TOOLS_LOAD_CALLER_OUTCOME_H_
