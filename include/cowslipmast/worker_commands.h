#ifndef COWSLIPMAST_WORKER_COMMANDS_H_
#define COWSLIPMAST_WORKER_COMMANDS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "cowslipmast/ids.h"
#include "cowslipmast/record.h"
#include "cowslipmast/units.h"

namespace cowslipmast {

/** A task that holds a lease on a worker, as the worker lists it. */
struct WorkerLease {
  TaskId task;
  Attempt attempt;
  Epoch epoch;
  TaskKind kind;
  Resources resources;
  bool checkpointing = false;
  uint32_t throttle_percent = 100;
  Duration expires_in{0};
  Resources usage;
  Duration usage_age{0};

  bool operator==(const WorkerLease&) const = default;
};

/** A worker's list of its tasks; finished tasks stay in it until acknowledged.
 */
struct WorkerReport {
  Epoch max_epoch;  // highest epoch that the worker has seen
  Resources capacity;
  std::vector<WorkerLease> leases;
  std::vector<TaskOutcome> finished;

  bool operator==(const WorkerReport&) const = default;
};

/** Makes the worker refuse commands of previous owners. */
struct FenceCommand {};

/** Reads the worker's list of tasks. */
struct ListCommand {};

/** Starts a task; the worker refuses it after `not_after`. */
struct StartCommand {
  TaskId task;
  Attempt attempt;
  TaskKind kind;
  Resources resources;
  WallTime not_after;
  Duration lease{0};
  Duration run_time{0};
  std::string checkpoint;  // empty to start from the beginning
  bool latency_critical = false;
};

/** Extends all leases on the worker; refused if it arrives after `not_after`.
 */
struct RenewCommand {
  Duration lease{0};
  WallTime not_after;
};

/** Limits a task to a percentage of its processors. */
struct ThrottleCommand {
  TaskId task;
  uint32_t percent = 100;
};

/** Checkpoints a task and ends it as evicted. */
struct CheckpointCommand {
  TaskId task;
};

/** Ends a task as evicted, without a checkpoint. */
struct StopCommand {
  TaskId task;
};

/** Drops finished tasks from the worker's list. */
struct AckCommand {
  std::vector<std::pair<TaskId, Attempt>> tasks;
};

using WorkerAction = std::variant<FenceCommand,
                                  ListCommand,
                                  StartCommand,
                                  RenewCommand,
                                  ThrottleCommand,
                                  CheckpointCommand,
                                  StopCommand,
                                  AckCommand>;

struct WorkerCommand {
  VmId worker;
  Epoch epoch;
  TimePoint sent_at;
  WorkerAction action;
};

enum class WorkerReplyKind {
  kOk,
  kRefused,  // the worker did not act
  kNotSent,  // the command did not reach the worker
  kLost,     // no reply; the worker may have acted
};

enum class WorkerRefusal {
  kStaleEpoch,
  kTooLate,
  kNoCapacity,
  kAlreadyHere,
  kUnknownTask,
  kBadRequest,
};

struct WorkerReply {
  WorkerReplyKind kind = WorkerReplyKind::kLost;
  WorkerRefusal refusal = WorkerRefusal::kBadRequest;  // only with kRefused
  std::optional<WorkerReport> report;  // only in replies to ListCommand
};

}  // namespace cowslipmast

#endif  // COWSLIPMAST_WORKER_COMMANDS_H_
