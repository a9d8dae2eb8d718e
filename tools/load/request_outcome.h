#ifndef COWSLIPMAST_TOOLS_LOAD_REQUEST_OUTCOME_H_
#define COWSLIPMAST_TOOLS_LOAD_REQUEST_OUTCOME_H_

#include <cstddef>
#include <string>

#include "cowslipmast/units.h"
#include "src/net/http_message.h"
#include "src/net/net_error.h"

namespace cowslipmast::load {

/** How a request ended for its caller. */
enum class RequestOutcome {
  kAnswered,
  kNotRun,
  kUnknown,
  kConnectionLost,       // connection lost after the request was sent
  kTimedOut,             // nothing within the deadline and a margin
  kNotSent,              // no entry could be reached
  kMissingOutcomeHeader  // answer without a valid Cowslipmast-RequestOutcome
};

inline constexpr RequestOutcome kAllRequestOutcomes[] = {
    RequestOutcome::kAnswered,
    RequestOutcome::kNotRun,
    RequestOutcome::kUnknown,
    RequestOutcome::kConnectionLost,
    RequestOutcome::kTimedOut,
    RequestOutcome::kNotSent,
    RequestOutcome::kMissingOutcomeHeader};

const char* RequestOutcomeName(RequestOutcome outcome);

struct PlannedRequest {
  std::string id;
  bool idempotent = false;
  size_t answer_bytes = 0;
};

struct RequestResult {
  PlannedRequest request;
  RequestOutcome outcome = RequestOutcome::kNotSent;
  uint16_t status = 0;
  std::string reason;  // of a request that was not answered, if an entry said
  bool intact = true;  // the answer is whole and belongs to this request
  Duration latency{0};
  uint64_t failovers = 0;  // entries that could not be reached before
};

/** Reads the outcome that an entry reported. */
RequestOutcome OutcomeOf(const HttpResponse& response);
/** Reads why an entry refused or does not know; empty if it does not say. */
std::string ReasonOf(const HttpResponse& response);
/** RequestOutcome of a request that got no answer. */
RequestOutcome OutcomeOf(const NetError& error);

/** True if an answer carries the id, and with status 200 the body, of its
 * request. */
bool IsIntact(const HttpResponse& response, const PlannedRequest& request);

}  // namespace cowslipmast::load

#endif  // COWSLIPMAST_TOOLS_LOAD_REQUEST_OUTCOME_H_
