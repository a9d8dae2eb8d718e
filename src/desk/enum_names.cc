#include "cowslipmast/desk_message.h"

namespace cowslipmast {

std::string_view DeskRefusalName(DeskRefusal refusal) {
  switch (refusal) {
    case DeskRefusal::kNone:
      return "none";
    case DeskRefusal::kBadRequest:
      return "bad_request";
    case DeskRefusal::kUnknownService:
      return "unknown_service";
    case DeskRefusal::kNoFreeSlot:
      return "no_free_slot";
    case DeskRefusal::kQueueFull:
      return "queue_full";
    case DeskRefusal::kDeadlinePassed:
      return "deadline_passed";
    case DeskRefusal::kDataCentreOut:
      return "data_centre_out";
    case DeskRefusal::kNoTarget:
      return "no_target";
    case DeskRefusal::kDuplicateId:
      return "duplicate_id";
    case DeskRefusal::kResendNotKnown:
      return "resend_not_known";
    case DeskRefusal::kTargetUnreachable:
      return "target_unreachable";
    case DeskRefusal::kTargetConnectionLost:
      return "target_connection_lost";
    case DeskRefusal::kTargetTimeout:
      return "target_timeout";
    case DeskRefusal::kTargetBadAnswer:
      return "target_bad_answer";
    case DeskRefusal::kPeerUnreachable:
      return "peer_unreachable";
    case DeskRefusal::kPeerReplyLost:
      return "peer_reply_lost";
    case DeskRefusal::kDraining:
      return "draining";
    case DeskRefusal::kPeerTimeout:
      return "peer_timeout";
  }
  return "unrecognised";
}

std::string_view DeskOutcomeName(DeskOutcome outcome) {
  switch (outcome) {
    case DeskOutcome::kAnswered:
      return "answered";
    case DeskOutcome::kNotRun:
      return "not-run";
    case DeskOutcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace cowslipmast
