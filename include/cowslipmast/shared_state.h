#ifndef COWSLIPMAST_SHARED_STATE_H_
#define COWSLIPMAST_SHARED_STATE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cowslipmast/config.h"
#include "cowslipmast/ids.h"
#include "cowslipmast/record.h"
#include "cowslipmast/vm.h"

namespace cowslipmast {

/** Owner of a target or a data centre. */
struct Ownership {
  std::optional<ProcessId> owner;
  Epoch epoch;
  LogOffset since;          // entry of the latest claim
  bool taken_over = false;  // claimed without a release before it

  bool operator==(const Ownership&) const = default;
};

/** Members of one region and role. */
struct MemberTable {
  MembershipVersion version;
  MembershipVersion settled;
  LogOffset changed_at;  // entry of the latest change
  std::map<ProcessId, Member> members;
  /** Members before the latest change; equal to `members` once settled. */
  std::map<ProcessId, Member> previous;

  bool operator==(const MemberTable&) const = default;
};

/** A task that failed this often, each time on another worker, is given up. */
inline constexpr uint32_t kMaxFailures = 3;

/** Bounds the memory for resubmissions, and the snapshot with it. */
inline constexpr size_t kMaxEndedJobs = 1000;

/** A submitted job as the `control` stream knows it. */
struct JobEntry {
  JobSpec spec;
  bool cancelled = false;
  std::optional<DataCentreId> data_centre;  // where it is placed now
  std::vector<TaskProgress> progress;       // from the latest release

  bool operator==(const JobEntry&) const = default;
};

/** What is kept of a job after its end. */
struct EndedJob {
  JobId id;
  uint32_t done = 0;
  uint32_t failed = 0;
  bool cancelled = false;

  bool operator==(const EndedJob&) const = default;
};

/** State that every process folds from the `control` stream. */
struct ControlState {
  LogOffset next;  // offset of the next entry to fold
  ConfigVersion config_version;
  std::string config_text;
  Config config;  // parsed `config_text`
  std::map<ResourceId, Ownership> ownership;
  std::map<std::pair<RegionId, Role>, MemberTable> members;
  std::map<VmId, VmStateSet> vm_states;  // only VMs that are not in service
  std::map<JobId, JobEntry> jobs;        // that have not ended
  std::deque<EndedJob> ended_jobs;       // the latest, in log order
};

/** State folded from a data centre's stream: progress of its jobs' tasks. */
struct DataCentreState {
  LogOffset next;
  std::map<TaskId, TaskProgress> tasks;
};

/** Null if the job has not ended or is no longer kept. */
const EndedJob* FindEndedJob(const ControlState& state, const JobId& id);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SHARED_STATE_H_
