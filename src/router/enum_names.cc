#include "cowslipmast/router_message.h"

namespace cowslipmast {

std::string_view RefusalReasonName(RefusalReason refusal) {
  switch (refusal) {
    case RefusalReason::kNone:
      return "none";
    case RefusalReason::kBadRequest:
      return "bad_request";
    case RefusalReason::kUnknownService:
      return "unknown_service";
    case RefusalReason::kNoFreeSlot:
      return "no_free_slot";
    case RefusalReason::kQueueFull:
      return "queue_full";
    case RefusalReason::kDeadlinePassed:
      return "deadline_passed";
    case RefusalReason::kDataCentreOut:
      return "data_centre_out";
    case RefusalReason::kNoTarget:
      return "no_target";
    case RefusalReason::kDuplicateId:
      return "duplicate_id";
    case RefusalReason::kResendNotKnown:
      return "resend_not_known";
    case RefusalReason::kTargetUnreachable:
      return "target_unreachable";
    case RefusalReason::kTargetConnectionLost:
      return "target_connection_lost";
    case RefusalReason::kTargetTimeout:
      return "target_timeout";
    case RefusalReason::kTargetBadAnswer:
      return "target_bad_answer";
    case RefusalReason::kPeerUnreachable:
      return "peer_unreachable";
    case RefusalReason::kPeerReplyLost:
      return "peer_reply_lost";
    case RefusalReason::kDraining:
      return "draining";
    case RefusalReason::kPeerTimeout:
      return "peer_timeout";
  }
  return "unrecognised";
}

std::string_view RequestOutcomeName(RequestOutcome outcome) {
  switch (outcome) {
    case RequestOutcome::kAnswered:
      return "answered";
    case RequestOutcome::kNotRun:
      return "not-run";
    case RequestOutcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace cowslipmast
