#ifndef COWSLIPMAST_RECORD_H_
#define COWSLIPMAST_RECORD_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "cowslipmast/ids.h"
#include "cowslipmast/units.h"
#include "cowslipmast/vm.h"

namespace cowslipmast {

/** Role of a `cowslipmastd` process. */
enum class Role { kEntry, kPlacer };

/** Resource with at most one owner process: a target or a data centre. */
using ResourceId = std::variant<TargetId, DataCentreId>;

/** Operators' configuration; void unless `base_version` is the current one. */
struct ConfigPublished {
  ConfigVersion base_version;
  std::string text;
  std::string author;

  bool operator==(const ConfigPublished&) const = default;
};

/** Acquires a resource; void unless `base_epoch` is its current epoch. */
struct Claim {
  ResourceId resource;
  ProcessId process;
  Epoch base_epoch;

  bool operator==(const Claim&) const = default;
};

/** Releases a resource; void unless `epoch` is its current epoch. */
struct Release {
  ResourceId resource;
  Epoch epoch;

  bool operator==(const Release&) const = default;
};

/** One process in the member table of a region and role. */
struct Member {
  ProcessId process;
  VmId vm;
  RegionId region;
  Role role = Role::kEntry;
  Endpoint peer_endpoint;

  bool operator==(const Member&) const = default;
};

/** Adds a process; replaces a previous one of the same VM and role. */
struct Join {
  Member member;
  MembershipVersion base_version;

  bool operator==(const Join&) const = default;
};

/** Removes a process from its region's member table. */
struct Leave {
  ProcessId process;
  RegionId region;
  Role role = Role::kEntry;
  MembershipVersion base_version;

  bool operator==(const Leave&) const = default;
};

/** A majority of the members before `version` has folded that version. */
struct MembersSettled {
  RegionId region;
  Role role = Role::kEntry;
  MembershipVersion version;

  bool operator==(const MembersSettled&) const = default;
};

/** Sets the state of a VM, by an operator's command or after failures. */
struct VmStateSet {
  VmId vm;
  VmServiceState state = VmServiceState::kInService;
  std::string cause;

  bool operator==(const VmStateSet&) const = default;
};

/** A job: `task_count` equal tasks. */
struct JobSpec {
  JobId id;
  TeamId team;
  TaskKind kind;
  uint32_t task_count = 0;
  Resources resources;   // of one task, as declared
  Duration run_time{0};  // of one task, as declared
  bool urgent = false;
  bool latency_critical = false;
  std::vector<DataCentreId> data_centres;  // allowed; empty means any

  bool operator==(const JobSpec&) const = default;
};

struct JobSubmitted {
  JobSpec spec;

  bool operator==(const JobSubmitted&) const = default;
};

struct JobCancelled {
  JobId job;

  bool operator==(const JobCancelled&) const = default;
};

/** Assigns a job to a data centre; void unless `epoch` is its owner's. */
struct JobPlaced {
  JobId job;
  DataCentreId data_centre;
  Epoch epoch;

  bool operator==(const JobPlaced&) const = default;
};

/** Progress of a task of a released job. */
struct TaskProgress {
  uint32_t index = 0;
  Attempt attempt;  // highest attempt that was started
  bool finished = false;
  bool failed = false;  // only with `finished`
  uint32_t failures = 0;
  std::string checkpoint;  // empty if there is none

  bool operator==(const TaskProgress&) const = default;
};

/** Releases a job, so that another data centre can claim it. */
struct JobReleased {
  JobId job;
  DataCentreId data_centre;
  Epoch epoch;
  std::vector<TaskProgress> progress;  // only tasks that were started

  bool operator==(const JobReleased&) const = default;
};

/** Removes a job whose tasks all have a recorded final outcome, or that was
 * cancelled and has no running task; void unless `epoch` is its owner's. The
 * owner repeats it in the stream of the data centre, where it removes the tasks
 * of the job. */
struct JobEnded {
  JobId job;
  DataCentreId data_centre;
  Epoch epoch;
  uint32_t done = 0;
  uint32_t failed = 0;

  bool operator==(const JobEnded&) const = default;
};

enum class TaskResult { kDone, kFailed, kEvicted, kLost };

/** Outcome of one attempt of a task. */
struct TaskOutcome {
  TaskId task;
  Attempt attempt;
  TaskResult result = TaskResult::kDone;
  std::string checkpoint;  // of an evicted task; empty if there is none

  bool operator==(const TaskOutcome&) const = default;
};

/** Outcomes of one data centre; void unless `epoch` is its owner's. */
struct TaskOutcomes {
  DataCentreId data_centre;
  Epoch epoch;
  std::vector<TaskOutcome> outcomes;

  bool operator==(const TaskOutcomes&) const = default;
};

/** Encoded state of a stream's fold after the entry at `through`. */
struct Snapshot {
  LogOffset through;
  std::string state;

  bool operator==(const Snapshot&) const = default;
};

/** A record kind that this version does not know. */
struct UnknownRecord {
  bool operator==(const UnknownRecord&) const = default;
};

using Record = std::variant<UnknownRecord,
                            ConfigPublished,
                            Claim,
                            Release,
                            Join,
                            Leave,
                            MembersSettled,
                            VmStateSet,
                            JobSubmitted,
                            JobCancelled,
                            JobPlaced,
                            JobReleased,
                            TaskOutcomes,
                            Snapshot,
                            JobEnded>;

/** Unit of appending: one log entry. */
struct Batch {
  ProducerId producer;
  BatchSequence sequence;
  std::vector<Record> records;

  bool operator==(const Batch&) const = default;
};

}  // namespace cowslipmast

#endif  // COWSLIPMAST_RECORD_H_
