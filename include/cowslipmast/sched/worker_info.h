#ifndef COWSLIPMAST_SCHED_WORKER_INFO_H_
#define COWSLIPMAST_SCHED_WORKER_INFO_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cowslipmast/sched/job.h"
#include "cowslipmast/vm.h"

namespace cowslipmast::sched {

/** A time on one worker's own clock, in milliseconds. */
using WorkerClock = Quantity<struct WorkerClockUnit>;

/** One life of a worker. A worker that restarts keeps its id but knows nothing
 * of before: its clock and the numbers of its ended runs start anew. Whatever
 * is meant for one instance must not reach another one. */
struct WorkerInstance {
  WorkerId id;
  /** Wall time in ms at which it started; 0 if the worker does not tell. */
  int64_t start_time_ms = 0;

  bool operator==(const WorkerInstance&) const = default;
};

/** True unless both start times are known and differ. */
inline bool MayBeSameInstance(int64_t start_time_ms,
                              int64_t other_start_time_ms) {
  return start_time_ms == 0 || other_start_time_ms == 0 ||
         start_time_ms == other_start_time_ms;
}

/** A worker as listed by the platform. */
struct WorkerInfo {
  WorkerId id;
  ServiceId service;
  Endpoint endpoint;
  DataCentreId data_centre;
  RackId rack;
  std::vector<std::string> labels;
  Resources capacity;
  bool draining = false;
  /** Wall time in ms at which this instance of the worker started; 0 if it is
   * not known. */
  int64_t start_time_ms = 0;

  bool operator==(const WorkerInfo&) const = default;
};

/** A run that a worker lists as active. */
struct ActiveRun {
  TaskName task;
  RunNumber run;
  std::string checkpoint;
  /** Progress; of a long-running task 100 once it has started up. */
  uint32_t percent = 0;
  /** Tail latency in ms of a task with a latency target, else CPU in use in
   * millicores; nothing if the worker does not report it. */
  std::optional<int64_t> load;
};

/** How a run ended. */
enum class RunOutcome {
  kDone,
  kFailed,
  kStopped,
  kLeaseExpired,     // its lease expired
  kGangMemberEnded,  // another member of its gang ended
  kGangIncomplete    // the other members of its gang did not start
};

/** A run that a worker lists as ended, until the scheduler acknowledges it. */
struct EndedRun {
  uint64_t number = 0;  // counts the worker's ended runs, from 1
  TaskName task;
  RunNumber run;
  RunOutcome outcome = RunOutcome::kDone;
  std::string checkpoint;
};

/** A worker's own report of its runs. */
struct WorkerListing {
  WorkerClock clock;
  int64_t start_time_ms = 0;  // as `WorkerInfo::start_time_ms`
  std::vector<ActiveRun> running;
  std::vector<EndedRun> ended;
};

/** Why a worker refused a start. */
enum class StartRefusal {
  kFenced,         // the worker has seen a later owner
  kOldRun,         // the worker has seen this run or a later one
  kLeaseExpired,   // the lease of the command has expired
  kNoCapacity,     // not enough free capacity
  kNoTicket,       // the advisor's ticket is missing or invalid
  kUnhealthy,      // the worker refuses work for now; it has done nothing
  kOtherInstance,  // another instance of the worker answered
  kBadCommand,     // the worker could not parse it
};

/** Returns a stable name for logs. */
std::string_view RunOutcomeName(RunOutcome kind);
std::string_view StartRefusalName(StartRefusal refusal);

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SCHED_WORKER_INFO_H_
