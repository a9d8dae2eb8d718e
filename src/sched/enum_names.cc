#include <string_view>

#include "cowslipmast/sched/job.h"
#include "cowslipmast/sched/worker_info.h"

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

std::string_view RunOutcomeName(RunOutcome kind) {
  switch (kind) {
    case RunOutcome::kDone:
      return "run_done";
    case RunOutcome::kFailed:
      return "run_failed";
    case RunOutcome::kStopped:
      return "run_stopped";
    case RunOutcome::kLeaseExpired:
      return "run_lapsed";
    case RunOutcome::kGangMemberEnded:
      return "run_broken";
    case RunOutcome::kGangIncomplete:
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
    case StartRefusal::kLeaseExpired:
      return "too_late";
    case StartRefusal::kNoCapacity:
      return "no_room";
    case StartRefusal::kNoTicket:
      return "no_ticket";
    case StartRefusal::kUnhealthy:
      return "unhealthy";
    case StartRefusal::kOtherInstance:
      return "other_life";
    case StartRefusal::kBadCommand:
      return "bad_command";
  }
  return "";
}

}  // namespace cowslipmast::sched
