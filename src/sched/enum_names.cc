#include <string_view>

#include "cowslipmast/sched/job.h"
#include "cowslipmast/sched/worker.h"

namespace cowslipmast::sched {

std::string_view JobStateName(JobState state) {
  switch (state) {
    case JobState::kQueued:
      return "queued";
    case JobState::kActive:
      return "active";
    case JobState::kCompleted:
      return "completed";
    case JobState::kFailed:
      return "failed";
    case JobState::kCancelled:
      return "cancelled";
  }
  return "";
}

std::string_view EndKindName(EndKind kind) {
  switch (kind) {
    case EndKind::kDone:
      return "run_done";
    case EndKind::kFailed:
      return "run_failed";
    case EndKind::kStopped:
      return "run_stopped";
    case EndKind::kLapsed:
      return "run_lapsed";
    case EndKind::kBroken:
      return "run_broken";
    case EndKind::kAlone:
      return "run_alone";
  }
  return "";
}

std::string_view StartRefusalName(StartRefusal refusal) {
  switch (refusal) {
    case StartRefusal::kFenced:
      return "fenced";
    case StartRefusal::kOldRun:
      return "old_run";
    case StartRefusal::kTooLate:
      return "too_late";
    case StartRefusal::kNoRoom:
      return "no_room";
    case StartRefusal::kNoTicket:
      return "no_ticket";
    case StartRefusal::kUnhealthy:
      return "unhealthy";
    case StartRefusal::kOtherLife:
      return "other_life";
    case StartRefusal::kBadCommand:
      return "bad_command";
  }
  return "";
}

}  // namespace cowslipmast::sched
