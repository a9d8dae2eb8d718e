#ifndef COWSLIPMAST_PLACEMENT_H_
#define COWSLIPMAST_PLACEMENT_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "cowslipmast/chart.h"
#include "cowslipmast/ids.h"
#include "cowslipmast/ownership.h"
#include "cowslipmast/record.h"
#include "cowslipmast/shared_state.h"
#include "cowslipmast/units.h"
#include "cowslipmast/vm.h"
#include "cowslipmast/worker_commands.h"

namespace cowslipmast {

/** A lease ends at most this long after the command that granted it was sent.
 */
inline constexpr Duration kMaxLeaseDuration = std::chrono::seconds(15);
inline constexpr Duration kLeaseRenewInterval = std::chrono::seconds(5);
/** A renewal that arrives later than this is refused, so that a delayed renewal
 * cannot extend a lease past `kMaxLeaseDuration`. */
inline constexpr Duration kRenewalValidity = std::chrono::milliseconds(500);
/** How often the list of a worker with tasks is read; bounds how late the end
 * of a task is noticed. */
inline constexpr Duration kWorkerListInterval = std::chrono::seconds(1);
inline constexpr Duration kIdleWorkerListInterval = std::chrono::seconds(5);
/** Limits the appends of outcomes to 5 a second. */
inline constexpr Duration kOutcomeAppendInterval =
    std::chrono::milliseconds(200);
/** By how much longer each further data centre in a job's ranking waits before
 * it takes the job. */
inline constexpr Duration kTakeJobDelayPerRank = std::chrono::seconds(2);
inline constexpr uint32_t kMaxConsecutiveFailedStarts = 3;
inline constexpr Duration kInitialProbeDelay = std::chrono::seconds(60);
inline constexpr Duration kMaxProbeDelay = std::chrono::hours(1);
/** Bounds the memory that one job needs in every placement process. */
inline constexpr uint32_t kMaxTasksPerJob = 10'000;

enum class TaskPhase {
  kWaiting,
  kStarting,
  kRunning,
  kEvicting,
  kEnding,  // the result is known but not yet read back from the log
  kDone,
  kFailed,
};

enum class LeasePhase {
  kRequested,
  kUncertain,  // the reply to the start was lost
  kHeld,
  kSilent,  // the worker is unreachable; the lease may still be valid
  kEnded,
};

/** Return the state names used in charts/task.toml and charts/lease.toml. */
std::string_view TaskPhaseName(TaskPhase phase);
std::string_view LeasePhaseName(LeasePhase phase);

/** A state chart with the states and events that the code uses, indexed by the
 * values of the code's enumerations. */
struct BoundChart {
  StateChart chart;
  std::vector<ChartState> states;
  std::vector<ChartEvent> events;
};

/** State charts of tasks and leases. */
struct PlacementCharts {
  BoundChart task;
  BoundChart lease;
};

/** A state or event that a chart lacks. */
struct PlacementChartError {
  std::string chart;
  std::string expected;
};

/** Resolves the names in charts/task.toml and charts/lease.toml. Returns null
 * and sets `reason` unless the charts have exactly the states, and at least the
 * events, that the code uses. */
std::shared_ptr<const PlacementCharts> MakePlacementCharts(
    StateChart task,
    StateChart lease,
    PlacementChartError& reason);

/** The task size that first-fit placement uses. */
enum class SizePolicy {
  kDeclared,
  kObserved,  // the larger of declared size and observed usage
};

struct PlacementPolicy {
  SizePolicy size = SizePolicy::kObserved;
  /** Percentage of a worker that is kept free of batch tasks under kObserved.
   * An empty worker is exempt, so that a task as large as a worker can run. */
  uint32_t reserve_percent = 5;
};

/** A task that may be on a worker, or whose result is not recorded yet. */
struct TaskAssignment {
  TaskId task;
  Attempt attempt;
  VmId worker;
  TaskPhase phase = TaskPhase::kStarting;
  LeasePhase lease = LeasePhase::kRequested;
  TeamId team;
  bool latency_critical = false;
  Resources declared;
  Resources reserved;      // subtracted from the worker's free capacity
  Resources usage;         // from the worker's latest list, which lags
  TimePoint confirmed_at;  // lists requested before this may lack the task
  TimePoint start_impossible_after;  // the start command expires then
  uint32_t throttle_percent = 100;
  std::optional<TimePoint> evict_sent_at;
  bool stop_sent = false;
  TaskOutcome outcome;  // only if `phase` is kEnding
};

/** What the owner of the data centre knows of one worker. */
struct TrackedWorker {
  VmId id;
  bool in_vm_list = false;  // in the platform's list and live
  VmServiceState state = VmServiceState::kInService;
  bool fenced = false;
  std::optional<TimePoint> listed_at;  // when the latest list was requested
  /** `listed_at` of the list that was last checked for overload. */
  std::optional<TimePoint> overload_checked_at;
  bool unreachable = false;
  bool list_before_start = false;  // it is uncertain what runs there
  bool fence_in_flight = false;
  bool list_in_flight = false;
  bool renew_in_flight = false;
  TimePoint next_contact;  // when the next fence or list command is due
  TimePoint next_renew;
  TimePoint lease_until;  // every lease has expired after this time
  Resources capacity;
  Resources reserved;      // by `tasks` and by unexpected leases
  std::set<TaskId> tasks;  // tasks that use capacity of this worker
  std::map<TaskId, Resources> unexpected;  // leases of tasks not assigned here
  bool stop_unexpected = false;  // send stop commands for `unexpected` tasks
  std::vector<std::pair<TaskId, Attempt>> to_acknowledge;
  uint32_t failed_starts = 0;  // consecutive
  Duration probe_delay = kInitialProbeDelay;
  std::optional<TimePoint> probe_at;  // only if the worker is quarantined
  std::optional<TaskId> probe;
  std::optional<TimePoint> state_sent_at;
};

/** A job that is placed in the data centre. */
struct TrackedJob {
  JobSpec spec;
  uint64_t order = 0;  // increases in the order in which jobs were first seen
  TimePoint seen_at;
  std::set<uint32_t> waiting;   // indexes of tasks that may be started
  std::set<uint32_t> assigned;  // indexes of assigned tasks
  /** Progress from before the job was placed here, by task index. */
  std::map<uint32_t, TaskProgress> released;
  /** True if this owner placed the job, so that none of its tasks can be
   * running on an unknown worker. */
  bool placed_by_this_owner = false;
  bool cancelled = false;
  std::optional<TimePoint> release_sent_at;
  std::optional<TimePoint> end_sent_at;
  bool any_task_done = false;
  std::set<VmId> failed_on;  // workers on which any task failed
  /** Workers on which a task failed, by task index. */
  std::map<uint32_t, std::set<VmId>> task_failed_on;
};

struct UnplacedJob {
  TimePoint seen_at;
  TimePoint next_check;
};

struct PlacementCounters {
  uint64_t starts_sent = 0;
  uint64_t starts = 0;
  uint64_t starts_refused = 0;
  uint64_t start_replies_lost = 0;
  uint64_t done = 0;
  uint64_t failed = 0;
  uint64_t evicted = 0;
  uint64_t lost = 0;
  uint64_t unexpected_tasks_stopped = 0;
  uint64_t throttled = 0;
  uint64_t quarantines = 0;
};

/** The state of the owner of one data centre during one epoch. */
struct PlacementState {
  DataCentreId data_centre;
  Epoch epoch;
  TimePoint owned_since;
  PlacementPolicy policy;
  std::shared_ptr<const PlacementCharts> charts;
  std::map<VmId, TrackedWorker> workers;
  std::map<TaskId, TaskAssignment> assignments;
  std::set<TaskId> ending;  // tasks in phase kEnding
  std::map<JobId, TrackedJob> jobs;
  std::map<JobId, UnplacedJob> unplaced;
  std::map<TeamId, Resources> team_usage;
  uint64_t next_order = 0;
  // `control.next` when `jobs` was last updated.
  std::optional<LogOffset> synced_next;
  /** When all leases on the workers were known: every worker had been listed,
   * or its leases had expired. */
  std::optional<TimePoint> all_leases_known_at;
  bool superseded = false;  // a worker reported a higher epoch
  bool was_out_of_service = false;
  std::optional<TimePoint> ramp_since;
  TimePoint ramp_updated;
  double ramp_cpu = 0;  // milli-cores that may still be started now
  TimePoint next_outcomes;
  bool outcomes_in_flight = false;
  PlacementCounters counters;
  /** Delays from first seeing a job placed by this owner to the first start of
   * each of its tasks. */
  std::vector<Duration> start_delays;
};

/** Input of a placement decision. */
struct PlacementView {
  TimePoint now;
  WallTime wall_now;
  bool permitted = false;  // the data centre is in OwnershipDecision::usable
  bool draining = false;   // starts no tasks and takes no jobs
  std::optional<TimePoint> proof;  // freshness proof of the `control` stream
  // Freshness proof of the data centre's stream.
  std::optional<TimePoint> outcome_proof;
  const ControlState& control;
  const DataCentreState& data_centre;
  const std::vector<VmInfo>& vms;
};

struct PlacementDecision {
  std::vector<WorkerCommand> commands;
  std::vector<Record> control;   // to append to the `control` stream
  std::vector<Record> outcomes;  // to append to the data centre's stream
};

/** Creates the state for a new owner of a data centre; no worker is fenced yet.
 */
PlacementState MakePlacement(const DataCentreId& data_centre,
                             Epoch epoch,
                             const PlacementPolicy& policy,
                             std::shared_ptr<const PlacementCharts> charts,
                             TimePoint now);

/** Decides what to do now. Call about every 100 ms and after changes. */
PlacementDecision DecidePlacement(PlacementState& placement,
                                  const PlacementView& view);

/** Applies the reply to a command, or the fact that there was none. */
void ApplyReply(PlacementState& placement,
                const PlacementView& view,
                const WorkerCommand& command,
                const WorkerReply& reply);

/** Call when the append of `PlacementDecision::outcomes` ended, whatever its
 * result. */
void OutcomesAppended(PlacementState& placement);

enum class SubmissionErrorKind {
  kBadId,
  kBadTaskCount,
  kBadResources,
  kUnknownTeam,
  kUnknownDataCentre,
  kTooLargeForAnyWorker,
};

struct SubmissionError {
  SubmissionErrorKind kind = SubmissionErrorKind::kBadId;
  std::string found;
};

/** Returns whether a job can ever run under a configuration; sets `reason` if
 * not. */
bool CheckSubmission(const JobSpec& spec,
                     const Config& config,
                     SubmissionError& reason);

/** Returns the data centres that may take a job, the preferred one first. */
std::vector<DataCentreId> RankDataCentres(const JobSpec& spec,
                                          const ControlState& control);

/** Merges the progress of a job's tasks from the `control` stream and the data
 * centre's stream. Returns only tasks that were started, by index. */
std::map<uint32_t, TaskProgress> ProgressOf(const JobEntry& job,
                                            const DataCentreState& data_centre);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_PLACEMENT_H_
