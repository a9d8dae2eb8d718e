#include "standins/worker/task_lease.h"

namespace cowslipmast::standins {

const char* CommandRefusalName(CommandRefusal refusal) {
  switch (refusal) {
    case CommandRefusal::kStaleEpoch:
      return "stale_epoch";
    case CommandRefusal::kStartDeadlinePassed:
      return "too_late";
    case CommandRefusal::kNoCapacity:
      return "no_capacity";
    case CommandRefusal::kAlreadyStarted:
      return "already_here";
    case CommandRefusal::kUnknownTask:
      return "unknown_task";
  }
  return "";
}

const char* LeaseOutcomeName(LeaseOutcome result) {
  switch (result) {
    case LeaseOutcome::kDone:
      return "done";
    case LeaseOutcome::kFailed:
      return "failed";
    case LeaseOutcome::kEvicted:
      return "evicted";
    case LeaseOutcome::kLost:
      return "lost";
  }
  return "";
}

}  // namespace cowslipmast::standins
