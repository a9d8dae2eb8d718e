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

/** Ownership of a target or a data centre. */
struct Ownership {
  std::optional<ProcessId> owner;
  Epoch epoch;
  LogOffset since;          // log entry of the latest claim
  bool taken_over = false;  // claimed without a preceding release

  bool operator==(const Ownership&) const = default;
};

/** Members of one region and role. */
struct MemberTable {
  MembershipVersion version;
  MembershipVersion settled;
  LogOffset changed_at;  // log entry of the latest change
  std::map<ProcessId, Member> members;
  /** Members before the latest change; equal to `members` once settled. */
  std::map<ProcessId, Member> previous;

  bool operator==(const MemberTable&) const = default;
};

/** A task that failed this often, each time on a different worker, is not
 * started again. */
inline constexpr uint32_t kMaxTaskFailures = 3;

/** Ended jobs kept to recognise resubmissions; bounds memory and snapshot size.
 */
inline constexpr size_t kMaxEndedJobs = 1000;

/** A submitted job in the `control` stream's state. */
struct JobEntry {
  JobSpec spec;
  bool cancelled = false;
  // Where the job is placed now, if anywhere.
  std::optional<DataCentreId> data_centre;
  std::vector<TaskProgress> progress;  // task progress reported by releases

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

/** The state that every process folds from the `control` stream. */
struct ControlState {
  LogOffset next;  // offset of the next entry to apply
  ConfigVersion config_version;
  std::string config_text;
  Config config;  // parsed `config_text`
  std::map<ResourceId, Ownership> ownership;
  std::map<std::pair<RegionId, Role>, MemberTable> members;
  std::map<VmId, VmStateSet> vm_states;  // only VMs that are not in service
  std::map<JobId, JobEntry> jobs;        // jobs that have not ended
  std::deque<EndedJob> ended_jobs;       // the most recent ones, in log order
};

/** The state folded from a data centre's stream: progress of its jobs' tasks.
 */
struct DataCentreState {
  LogOffset next;
  std::map<TaskId, TaskProgress> tasks;
};

/** Returns null if the job has not ended or is no longer kept. */
const EndedJob* FindEndedJob(const ControlState& state, const JobId& id);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SHARED_STATE_H_
