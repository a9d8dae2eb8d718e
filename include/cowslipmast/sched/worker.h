#ifndef COWSLIPMAST_SCHED_WORKER_H_
#define COWSLIPMAST_SCHED_WORKER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cowslipmast/sched/job.h"
#include "cowslipmast/vm.h"

namespace cowslipmast::sched {

/** A moment on one worker's own clock, in milliseconds. */
using WorkerClock = Quantity<struct WorkerClockUnit>;

/** A worker as the platform lists it. */
struct WorkerInfo {
  WorkerId id;
  ServiceId service;
  Endpoint endpoint;
  DataCentreId data_centre;
  RackId rack;
  std::vector<std::string> labels;
  Resources capacity;
  bool draining = false;
  /** Wall time of the worker's start in ms; 0 if it is not known. */
  int64_t born_ms = 0;

  bool operator==(const WorkerInfo&) const = default;
};

/** A run that a worker lists as present. */
struct RunningTask {
  TaskName task;
  RunNumber run;
  std::string checkpoint;
  uint32_t percent = 0;  // of its work; 100 for a lasting task at work
  /** Tail latency in ms of a task with a latency target, else cpu in use in
   * thousandths of a core; nothing if the worker does not say. */
  std::optional<int64_t> load;
};

enum class EndKind {
  kDone,
  kFailed,
  kStopped,
  kLapsed,  // its lease expired
  kBroken,  // another member of its gang ended
  kAlone    // the other members of its gang did not come
};

/** A run that a worker lists as over, until that is acknowledged. */
struct EndedTask {
  uint64_t number = 0;  // position in the worker's list of ends, from 1
  TaskName task;
  RunNumber run;
  EndKind how = EndKind::kDone;
  std::string checkpoint;
};

/** A worker's own list at one moment. */
struct WorkerListing {
  WorkerClock clock;
  int64_t born_ms = 0;
  std::vector<RunningTask> running;
  std::vector<EndedTask> ended;
};

/** Why a worker did not take a start. */
enum class StartRefusal {
  kFenced,      // the worker has seen a later owner
  kOldRun,      // this run, or a later one, was there already
  kTooLate,     // the lease of the command is over
  kNoRoom,      // it does not fit beside what runs there
  kNoTicket,    // the advisor's ticket is missing or not valid
  kUnhealthy,   // the worker refuses work for now; it has done nothing
  kOtherLife,   // another start of the worker answered
  kBadCommand,  // the worker could not read it
};

/** Returns a stable name for logs. */
std::string_view EndKindName(EndKind kind);
std::string_view StartRefusalName(StartRefusal refusal);

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SCHED_WORKER_H_
