#ifndef COWSLIPMAST_STANDINS_WORKER_TASK_LEASE_H_
#define COWSLIPMAST_STANDINS_WORKER_TASK_LEASE_H_

#include <cstdint>
#include <optional>
#include <string>

#include "cowslipmast/ids.h"
#include "cowslipmast/units.h"

namespace cowslipmast::standins {

/** One attempt to run a task. */
struct TaskRun {
  TaskId task;
  Attempt attempt;

  auto operator<=>(const TaskRun&) const = default;
};

/** Why a worker refuses a command. */
enum class CommandRefusal {
  kStaleEpoch,
  kStartDeadlinePassed,
  kNoCapacity,
  kAlreadyStarted,
  kUnknownTask
};

/** Returns the name of a refusal in the worker's protocol. */
const char* CommandRefusalName(CommandRefusal refusal);

enum class LeaseOutcome { kDone, kFailed, kEvicted, kLost };

const char* LeaseOutcomeName(LeaseOutcome result);

struct StartTaskCommand {
  Epoch epoch;
  TaskRun run;
  std::string kind;
  Resources resources;
  WallTime not_after;
  Duration lease{0};
  Duration run_time{0};  // 0: the task runs until it is stopped
  std::string checkpoint;
  bool latency_critical = false;
};

/** A task that runs on a worker until its lease expires. */
struct TaskLease {
  TaskRun run;
  Epoch epoch;
  std::string kind;
  Resources resources;
  TimePoint expires_at;
  Duration work_done{0};
  std::optional<Duration> work;     // total; not set if the task never ends
  bool fails = false;               // ends as failed when the work is done
  uint64_t throttle_percent = 100;  // share of its full speed
  std::optional<TimePoint> checkpointed_at;  // end of a checkpoint in progress
  Resources usage;                           // last sample
  TimePoint usage_at;
};

/** A task that has ended and is not acknowledged yet. */
struct FinishedTask {
  TaskRun run;
  LeaseOutcome result = LeaseOutcome::kDone;
  std::string checkpoint;
};

}  // namespace cowslipmast::standins

#endif  // COWSLIPMAST_STANDINS_WORKER_TASK_LEASE_H_
