#ifndef COWSLIPMAST_ROUTER_MESSAGE_H_
#define COWSLIPMAST_ROUTER_MESSAGE_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "cowslipmast/http.h"
#include "cowslipmast/ids.h"
#include "cowslipmast/units.h"

namespace cowslipmast {

using FreeSlots = std::map<ServiceId, Slots>;

enum class RequestOutcome { kAnswered, kNotRun, kUnknown };

/** Why a request was refused or its outcome is unknown. The numeric values are
 * part of the peer protocol, so new values are added at the end. */
enum class RefusalReason : uint16_t {
  kNone,
  kBadRequest,
  kUnknownService,
  kNoFreeSlot,
  kQueueFull,
  kDeadlinePassed,
  kDataCentreOut,
  kNoTarget,
  kDuplicateId,
  kResendNotKnown,
  kTargetUnreachable,
  kTargetConnectionLost,
  kTargetTimeout,
  kTargetBadAnswer,
  kPeerUnreachable,
  kPeerReplyLost,
  kDraining,
  kPeerTimeout,
};

/** Returns a stable name for callers, logs and metrics. */
std::string_view RefusalReasonName(RefusalReason refusal);

/** Returns the value of the `Cowslipmast-Outcome` header. */
std::string_view RequestOutcomeName(RequestOutcome outcome);

/** A caller's request with validated headers. */
struct RouterRequest {
  RequestId id;
  ServiceId service;
  bool idempotent = false;
  bool resend = false;
  Duration remaining{0};  // until the caller's deadline
  std::string method;
  std::string path;
  std::vector<HttpHeader> headers;
  std::string body;
};

struct RouterReply {
  RequestOutcome outcome = RequestOutcome::kNotRun;
  RefusalReason refusal = RefusalReason::kNone;
  HttpResponse response;  // only if `outcome` is kAnswered
  FreeSlots free_slots;   // of the process that sent this reply
};

}  // namespace cowslipmast

#endif  // COWSLIPMAST_ROUTER_MESSAGE_H_
