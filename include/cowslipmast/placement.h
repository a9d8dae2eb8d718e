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
#include "cowslipmast/worker.h"

namespace cowslipmast {

/** A lease ends at most this long after the command that granted it left. */
inline constexpr Duration kLongestLease = std::chrono::seconds(15);
inline constexpr Duration kRenewInterval = std::chrono::seconds(5);
/** A renewal that arrives later than this is refused, so that a delayed one
 * cannot extend a lease past `kLongestLease`. */
inline constexpr Duration kRenewWindow = std::chrono::milliseconds(500);
/** How often a worker with tasks is listed; bounds how late an end is seen. */
inline constexpr Duration kListInterval = std::chrono::seconds(1);
inline constexpr Duration kIdleListInterval = std::chrono::seconds(5);
/** At most 5 appends of outcomes a second. */
inline constexpr Duration kOutcomeInterval = std::chrono::milliseconds(200);
/** How long each further data centre waits before it takes a job. */
inline constexpr Duration kPlaceDelay = std::chrono::seconds(2);
inline constexpr uint32_t kMaxFailedStarts = 3;
inline constexpr Duration kFirstProbeDelay = std::chrono::seconds(60);
inline constexpr Duration kLongestProbeDelay = std::chrono::hours(1);
/** Bounds the memory that one job takes in every placer. */
inline constexpr uint32_t kMaxTasksOfJob = 10'000;

enum class TaskPhase {
  kWaiting,
  kStarting,
  kRunning,
  kEvicting,
  kEnding,  // the result is known, but not yet read back from the log
  kDone,
  kFailed,
};

enum class LeasePhase {
  kRequested,
  kUncertain,  // the reply to the start was lost
  kHeld,
  kSilent,  // the worker does not answer; the lease may still run
  kEnded,
};

/** Names as in the charts. */
std::string_view TaskPhaseName(TaskPhase phase);
std::string_view LeasePhaseName(LeasePhase phase);

/** A chart with the handles of the names that the code uses, in the order of
 * the code's enumerators. */
struct BoundChart {
  Chart chart;
  std::vector<ChartState> states;
  std::vector<ChartEvent> events;
};

/** The lifecycles of tasks and leases. */
struct PlacementCharts {
  BoundChart task;
  BoundChart lease;
};

/** A name that a chart must have and has not. */
struct PlacementChartError {
  std::string chart;
  std::string expected;
};

/** Binds charts/task.toml and charts/lease.toml. Null if the charts do not
 * have exactly the states, and at least the events, that the code uses. */
std::shared_ptr<const PlacementCharts>
MakePlacementCharts(Chart task, Chart lease, PlacementChartError& reason);

/** Sizes that first fit counts with. */
enum class SizePolicy {
  kDeclared,
  kObserved,  // the larger of declared size and observed usage
};

struct PlacementPolicy {
  SizePolicy size = SizePolicy::kObserved;
  /** Share of a worker kept free of batch tasks under kObserved; an empty
   * worker is exempt, so that a task as large as a worker can run. */
  uint32_t reserve_percent = 5;
};

/** A task that is, or may be, on a worker, or whose result is unrecorded. */
struct TaskPlace {
  TaskId task;
  Attempt attempt;
  VmId worker;
  TaskPhase phase = TaskPhase::kStarting;
  LeasePhase lease = LeasePhase::kRequested;
  TeamId team;
  bool latency_critical = false;
  Resources declared;
  Resources counted;       // against the worker's capacity
  Resources usage;         // as the latest list has it, which lags
  TimePoint known_since;   // a list asked for before says nothing about it
  TimePoint start_closed;  // the start cannot succeed any more
  uint32_t throttle_percent = 100;
  std::optional<TimePoint> evict_sent;
  bool stop_sent = false;
  TaskOutcome outcome;  // only in kEnding
};

/** What the owner knows of one worker. */
struct WorkerView {
  VmId id;
  bool listed_vm = false;  // live in the platform's list
  VmServiceState state = VmServiceState::kInService;
  bool fenced = false;
  std::optional<TimePoint> listed_at;    // when the latest list was asked for
  std::optional<TimePoint> relieved_at;  // the list that relief was decided on
  bool silent = false;
  bool list_before_start = false;  // what runs there is not known for sure
  bool fence_in_flight = false;
  bool list_in_flight = false;
  bool renew_in_flight = false;
  TimePoint next_contact;  // of the next fence or list
  TimePoint next_renew;
  TimePoint lease_until;  // no lease of this worker is valid after this
  Resources capacity;
  Resources counted;                    // of the tasks and the foreign leases
  std::set<TaskId> tasks;               // that count against the capacity
  std::map<TaskId, Resources> foreign;  // leases that have no place here
  bool stop_foreign = false;            // a list showed them
  std::vector<std::pair<TaskId, Attempt>> to_acknowledge;
  uint32_t failed_starts = 0;  // in a row
  Duration probe_delay = kFirstProbeDelay;
  std::optional<TimePoint> probe_at;  // only of a quarantined worker
  std::optional<TaskId> probe;
  std::optional<TimePoint> state_sent;
};

/** A job that belongs to the data centre. */
struct JobView {
  JobSpec spec;
  uint64_t order = 0;  // in which the jobs were first seen
  TimePoint seen_at;
  std::set<uint32_t> waiting;                 // tasks that may be started
  std::set<uint32_t> placed;                  // tasks that have a place
  std::map<uint32_t, TaskProgress> released;  // from before it was placed here
  /** Placed by this owner, so that no task of it runs at an unknown place. */
  bool fresh = false;
  bool cancelled = false;
  std::optional<TimePoint> release_sent;
  std::optional<TimePoint> end_sent;
  bool any_done = false;
  std::set<VmId> failed_on;                           // any of its tasks
  std::map<uint32_t, std::set<VmId>> task_failed_on;  // by task
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
  uint64_t foreign_stopped = 0;
  uint64_t throttled = 0;
  uint64_t quarantines = 0;
};

/** Memory of the owner of one data centre under one epoch. */
struct Placement {
  DataCentreId data_centre;
  Epoch epoch;
  TimePoint gained_at;
  PlacementPolicy policy;
  std::shared_ptr<const PlacementCharts> charts;
  std::map<VmId, WorkerView> workers;
  std::map<TaskId, TaskPlace> places;
  std::set<TaskId> ending;  // places in kEnding
  std::map<JobId, JobView> jobs;
  std::map<JobId, UnplacedJob> unplaced;
  std::map<TeamId, Resources> team_usage;
  uint64_t next_order = 0;
  std::optional<LogOffset> synced;  // `control` entry up to which jobs are
  /** When every worker had been listed or its leases had run out. */
  std::optional<TimePoint> settled_at;
  bool superseded = false;  // a worker has seen a higher epoch
  bool was_out = false;
  std::optional<TimePoint> ramp_since;
  TimePoint ramp_updated;
  double ramp_cpu = 0;  // milli-cores that may be started now
  TimePoint next_outcomes;
  bool outcomes_in_flight = false;
  PlacementCounters counters;
  /** Time from first sight of a fresh job to each first start of a task. */
  std::vector<Duration> start_delays;
};

/** What the owner sees when it decides. */
struct PlacementView {
  TimePoint now;
  WallTime wall_now;
  bool permitted = false;                  // OwnershipDecision::usable has it
  bool draining = false;                   // starts and takes nothing new
  std::optional<TimePoint> proof;          // of the `control` stream
  std::optional<TimePoint> outcome_proof;  // of the data centre's stream
  const ControlState& control;
  const DataCentreState& data_centre;
  const std::vector<VmInfo>& vms;
};

struct PlacementDecision {
  std::vector<WorkerCommand> commands;
  std::vector<Record> control;   // to append to the `control` stream
  std::vector<Record> outcomes;  // to append to the data centre's stream
};

/** Begins the ownership of a data centre; all workers are to be fenced. */
Placement MakePlacement(const DataCentreId& data_centre,
                        Epoch epoch,
                        const PlacementPolicy& policy,
                        std::shared_ptr<const PlacementCharts> charts,
                        TimePoint now);

/** Decides what to do now. Called every 100 ms or so, and after changes. */
PlacementDecision DecidePlacement(Placement& placement,
                                  const PlacementView& view);

/** Takes in the reply to a command, or that there was none. */
void ApplyReply(Placement& placement,
                const PlacementView& view,
                const WorkerCommand& command,
                const WorkerReply& reply);

/** The append of `PlacementDecision::outcomes` ended, whatever its result. */
void OutcomesAppended(Placement& placement);

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

/** Checks whether a job can ever run under a configuration. */
bool CheckSubmission(const JobSpec& spec,
                     const Config& config,
                     SubmissionError& reason);

/** Returns the data centres that may take a job, the preferred one first. */
std::vector<DataCentreId> RankDataCentres(const JobSpec& spec,
                                          const ControlState& control);

/** Joins what the `control` stream and the data centre's stream say of the
 * tasks of a job; only tasks that were started, by index. */
std::map<uint32_t, TaskProgress> ProgressOf(const JobEntry& job,
                                            const DataCentreState& data_centre);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_PLACEMENT_H_
