#include "standins/worker/task.h"

namespace cowslipmast::standins {

const char* RefusalName(Refusal refusal) {
  switch (refusal) {
    case Refusal::kStaleEpoch:
      return "stale_epoch";
    case Refusal::kTooLate:
      return "too_late";
    case Refusal::kNoCapacity:
      return "no_capacity";
    case Refusal::kAlreadyHere:
      return "already_here";
    case Refusal::kUnknownTask:
      return "unknown_task";
  }
  return "";
}

const char* TaskResultName(TaskResult result) {
  switch (result) {
    case TaskResult::kDone:
      return "done";
    case TaskResult::kFailed:
      return "failed";
    case TaskResult::kEvicted:
      return "evicted";
    case TaskResult::kLost:
      return "lost";
  }
  return "";
}

}  // namespace cowslipmast::standins
