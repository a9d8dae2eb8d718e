#ifndef COWSLIPMAST_SRC_SCHED_STATE_H_
#define COWSLIPMAST_SRC_SCHED_STATE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "cowslipmast/sched/cell.h"
#include "cowslipmast/sched/cell_message.h"
#include "cowslipmast/sched/scheduler.h"
#include "src/sched/interference_model.h"
#include "src/sched/look_ahead.h"
#include "src/sched/task_list.h"

namespace cowslipmast::sched {

enum class SchedulingPhase : uint8_t {
  kBlocked,    // an earlier step is not done, or the job has ended
  kReady,      // waits for a worker
  kPlanned,    // has a worker; the record is not stored or the start not sent
  kUncertain,  // the reply to the start command was lost
  kRunning,
  kStopping,  // must be stopped, or kept from starting
  kDone,
  kElsewhere,  // another cell holds the task
};

/** Worker index of a task that has no worker. */
inline constexpr int32_t kNoWorker = -1;

/** Value of `Task::other_cell` for a task that this cell runs. */
inline constexpr uint32_t kThisCell = UINT32_MAX;

/** Differs from every pace that a command sets, so that the next pace command
 * is always sent. */
inline constexpr uint32_t kUnknownPacePercent = 101;

/** What the owner knew of a run when it last knew the run's instance. */
struct RunOnInstance {
  RunNumber run;
  int64_t start_time_ms = 0;  // of the instance; 0 if unknown
  /** The instance confirmed the start, or listed the run as active. */
  bool is_confirmed = false;
  /** A stop was sent, so that the run may have ended before its instance. */
  bool is_stopping = false;
  bool lease_expired = false;
  /** The instance was last heard when the run had just started. */
  bool had_just_started = false;
  /** This owner has heard neither of the start nor of the run. */
  bool is_unseen = false;
};

/** What the end of a worker says of a run that it had. */
struct CrashEvidence {
  RunOnInstance run;
  bool blamed = false;     // the run had just started
  bool alone = false;      // no other run had just started
  bool lone_end = false;   // no other worker had ended at about that time
  bool in_common = false;  // more workers had ended under it than under others
  /** Workers that ended in the last seconds though nothing had just started
   * there. */
  size_t unexplained_ends = 0;
};

struct Task {
  SchedulingPhase phase = SchedulingPhase::kBlocked;
  int32_t worker = kNoWorker;  // index into `State::workers`
  RunNumber run;               // of the latest start; 0 before the first
  uint32_t failures = 0;
  RunNumber last_failed_run;
  CrashCount crashes;  // since it was last cleared; set by `SetCrashes`
  RunNumber last_crashed_run;
  /** The latest run that showed that the task does not crash its worker. */
  RunNumber cleared_run;
  /** Start time of the worker's instance that has the task; 0 if unknown. */
  int64_t worker_start_time_ms = 0;
  /** When the worker confirmed the start to this owner. Without a response the
   * worker may have ended before the start reached it. */
  std::optional<TimePoint> started;
  /** The instance that has the task has confirmed the start or listed the run,
   * to this owner or to an earlier one. */
  bool is_confirmed = false;
  /** The worker was last heard when the run had just started, and a request to
   * it had no response since; as stored. */
  bool is_silent_since_start = false;
  /** Workers whose `silent_tasks` have a run of the task that may have ended at
   * its start; part of the task's record. */
  std::vector<int32_t> silent_workers;
  /** A worker has had a run of the task, in any cell and under any owner. */
  bool has_run = false;
  uint32_t other_cell = kThisCell;  // that runs the task
  uint32_t came_from = kThisCell;   // the cell that moved the task here
  /** It has had no worker since it was moved here. */
  bool has_just_moved = false;
  /** While the task waits for a worker. Of a long-running one the last time at
   * which it is known to have had a run, in any cell and under any owner. */
  TimePoint ready_since;
  TimePoint ready_here_since;  // in this cell
  std::string checkpoint;
  /** A listing requested after this time shows the run if it is present; not
   * set while the start command is on its way. */
  std::optional<TimePoint> visible_from;
  /** When the stop command was last sent. */
  std::optional<TimePoint> stop_sent;
  uint32_t progress_percent = 0;
  /** When the listed progress last changed, the run was first listed, or a
   * pause of it ended. */
  std::optional<TimePoint> last_progress;
  std::optional<int64_t> load;         // as in the listing
  uint32_t pace_percent = 100;         // as last commanded
  uint32_t target_pace_percent = 100;  // as last calculated
  /** Lowest pace since the last progress. */
  uint32_t slowest_pace_percent = 100;
  /** Longest time at full pace that a percent of this run has taken; nothing
   * until it is listed, 0 until its progress has been seen to change. */
  std::optional<Duration> longest_percent;
  /** Runs of the task that this owner has stopped as stalled. */
  uint32_t stalled_runs = 0;
  /** A best-effort task that runs at the pace that the other tasks of its
   * worker leave to it, so that its job has a run at all. */
  bool is_opportunistic = false;
  /** Stopped once to make room for a long-running task. */
  bool was_displaced = false;
  /** Utilisation, from 0 to 1, of a latency-critical task without interference;
   * a moving average. */
  double own_utilisation = kInitialOwnUtilisation;
  /** Total utilisation of a latency-critical task in the worker's listing with
   * the number `utilisation_listing`; 0 if there is none. */
  double utilisation = 0;
  uint64_t utilisation_listing = 0;
  uint64_t last_listing = 0;  // number of the last listing that showed the run
};

struct StepState {
  TaskList tasks;
  /** Indices; the last one has waited longest and is the next to be placed. */
  std::vector<uint32_t> ready_tasks;
  uint32_t unfinished_tasks = 0;
  ImageIndex image = 0;  // among latency-critical or best-effort images
  bool unblocked = false;
  /** The last plan that did not leave the step out, and whether it took the
   * step for one that cannot be placed without looking at workers. */
  std::optional<TimePoint> examined_at;
  bool is_ruled_out = false;
};

struct Job;

/** One pass through a job's steps. */
struct Iteration {
  Job* job = nullptr;
  uint32_t number = 0;
  std::vector<StepState> steps;
  uint32_t unfinished_steps = 0;
  TimePoint due;
  /** Goes before other work of its priority: it has waited for too long. */
  bool has_turn = false;
  bool dirty = false;  // changed since its record was encoded
  /** Cells to which this one has handed tasks of it. */
  std::set<CellId> part_cells;
  /** A part: the coordinator has told that the iteration has ended. */
  bool is_closed = false;
  /** A part: tasks are done of which the coordinator is not told yet. */
  bool has_unreported_ends = false;
};

struct Job {
  JobDefinition spec;
  size_t encoded_bytes = 0;  // of `spec` in the store
  JobState state = JobState::kQueued;
  /** As stored: the state that callers are told. */
  JobState published_state = JobState::kQueued;
  std::map<uint32_t, std::unique_ptr<Iteration>> iterations;
  uint32_t next_iteration = 0;
  uint32_t iterations_done = 0;
  /** Iterations that are done, by number, whether or not they are kept. */
  std::vector<bool> done_iterations;
  /** When the next iteration was due, if it waits for an earlier one to end. */
  std::optional<WallTime> overdue_since;
  uint64_t sequence = 0;  // order of arrival
  TimePoint arrived;
  uint32_t placed_tasks = 0;  // tasks that have a worker
  TimePoint last_start;       // planned by this owner
  /** A start was planned once, or tasks have moved: workers or other cells may
   * know the job, so that it cannot move as a whole. */
  bool may_have_started = false;
  /** A worker has confirmed a start of one of its tasks, or has listed a run.
   */
  bool has_started = false;
  bool is_cancelled = false;
  bool is_part = false;  // another cell moved only some of its tasks here
  /** Cells to which this one has handed tasks of any iteration. */
  std::set<CellId> part_cells;
  /** The cell that decides on the job's steps and ends, if tasks of it were
   * moved here alone. */
  std::optional<CellId> coordinator;
  /** How the job ended was decided in another cell. */
  bool ended_elsewhere = false;
  /** The cells that moved all of it here; each must learn how it ends. */
  std::set<CellId> received_from;
  std::optional<CellId> moved_to;  // the cell that runs all of it
  uint32_t hop = 0;                // cells that it has moved through
  RunNumber base_run;  // runs of other cells have this number at most
  /** Messages of its end, and those that the streams of the other cells have;
   * the job is kept until all are stored. */
  uint32_t end_messages_planned = 0;
  uint32_t end_messages_stored = 0;
  std::optional<TimePoint> ended_at;
  bool end_stored = false;
};

/** One task of one iteration. */
struct TaskRef {
  Iteration* iteration = nullptr;
  uint32_t step = 0;
  uint32_t index = 0;

  bool operator==(const TaskRef&) const = default;
};

enum class Reachability : uint8_t {
  kUnknown,  // has not answered this owner yet
  kReachable,
  kUnreachable,
};

/** A new owner takes a worker that it has not heard yet for silent after this
 * many requests: one response may be lost. */
inline constexpr uint32_t kMinUnansweredRequests = 2;

/** A worker's health, derived from the outcomes of its runs. */
struct WorkerHealth {
  uint32_t failure_streak = 0;  // failed runs since the last completed one
  TimePoint last_failure;
  std::optional<TimePoint> avoid_until;
  /** Most urgent priority of the tasks that run there to show whether it works
   * again; nothing if none does. */
  std::optional<uint32_t> probe_priority;
  /** Longest time that one of the failed runs in a row took. */
  Duration longest_failed_run{0};
};

/** What this owner knows of one instance of a worker. */
struct InstanceState {
  int64_t start_time_ms = 0;  // 0 if the worker does not tell
  std::optional<WorkerClock> clock;
  TimePoint clock_received_at;
  /** Latest lease end sent to it, on its clock. */
  WorkerClock latest_lease_end;
  /** As above, when it was last heard: it may not have received a later one. */
  WorkerClock heard_lease_end;
  /** Number of the last listed run outcome that was applied, that was part of a
   * plan, and whose plan was stored. */
  uint64_t outcomes_applied = 0;
  uint64_t outcomes_planned = 0;
  uint64_t outcomes_stored = 0;
};

struct WorkerState {
  WorkerInfo info;
  bool listed = false;  // by the platform
  Reachability reachability = Reachability::kUnknown;
  /** Start times of the latest instances that have announced that they leave.
   */
  std::deque<int64_t> leaving_start_times_ms;
  /** The last listing request had no response. */
  bool is_silent = false;
  uint32_t unanswered_requests = 0;  // listing requests, in a row
  TimePoint last_heard;              // of the last listing
  /** The instance that answered last, unless it is known to have ended. */
  std::optional<InstanceState> instance;
  /** From this time on nothing runs there unless a lease is extended. */
  TimePoint lease_expiry;
  Resources reserved;           // by tasks that count against capacity
  Resources unexpected;         // used by listed runs that no task accounts for
  Resources displaceable;       // by tasks that may be displaced; of `reserved`
  Resources held;               // for overdue and for relocated tasks
  MilliCores best_effort_cpu;   // declared by best-effort tasks
  MilliCores long_running_cpu;  // of long-running tasks, part of `reserved`
  std::vector<TaskRef> tasks;
  uint32_t suspects = 0;  // tasks under which workers have ended before
  /** Tasks that the worker had when its lease expired, until it is known
   * whether its instance has ended. */
  std::map<TaskName, CrashEvidence> silent_tasks;
  /** Until then an answer is awaited that would show a crash. */
  std::optional<TimePoint> proof_awaited_until;
  uint64_t listing_count = 0;
  /** Set when the worker refused a start for lack of capacity. */
  std::optional<TimePoint> full_until;
  WorkerHealth health;
  /** Factor on the pace of all best-effort tasks, from 0 to 1; lowered when
   * tail latencies stay over their targets although the interference model sets
   * the paces. */
  double best_effort_pace_factor = 1.0;
  uint32_t listings_over_target = 0;  // in a row, with such a tail latency
  /** Processor shares of the best-effort images in the last listing. */
  std::vector<BestEffortShare> best_effort_shares;
};

/** Silent workers of which a record says how long their leases last. */
struct LeaseNotes {
  std::set<WorkerId> planned;  // in the record of the last plan that had one
  std::set<WorkerId> stored;
  TimePoint planned_at;
  /** Time left at most when the record of the owner before was read. */
  std::map<WorkerId, Duration> inherited;
};

/** A long-running task that goes on at another worker, so that its own one has
 * room for a task that needs more. */
struct Relocation {
  TaskName task;
  int32_t source = kNoWorker;  // indices into `State::workers`
  int32_t target = kNoWorker;
  Resources need;  // held at the target
  TimePoint since;
};

/** Relocations of this owner; a new one starts without. */
struct Relocations {
  std::vector<Relocation> pending;
  /** When the latest ones began, for the limit on their rate. */
  std::deque<TimePoint> begun;
};

/** A lost task that was moved just now, which the loads of its new cell do not
 * show yet. */
struct RecentMove {
  CellId target;
  ServiceId service;
  LostTask task;
  TimePoint at;
};

/** Free capacity that is kept from new long-running tasks. */
struct KeptCapacity {
  int32_t worker = kNoWorker;  // index into `State::workers`
  Resources need;
  uint32_t priority = 0;
  bool is_for_other_cell = false;
  std::string label;  // of that task
};

/** Since when a worker's free capacity, as it is, may be kept for other cells.
 */
struct KeptPlace {
  TimePoint since;
  TimePoint seen;  // by the last plan
  Resources free;
};

/** Order in which waiting steps get workers; the smallest is first. */
struct ReadyKey {
  uint32_t priority = 0;
  uint32_t rank = 0;  // see `Rank` in order.h
  /** When the step must start to meet the objective; the same for all steps
   * whose order does not depend on it. */
  TimePoint latest_start{};
  uint64_t sequence = 0;
  uint32_t iteration_number = 0;
  uint32_t step = 0;
  Iteration* iteration = nullptr;

  auto AsTuple() const {
    return std::tie(priority, rank, latest_start, sequence, iteration_number,
                    step);
  }
  bool operator<(const ReadyKey& other) const {
    return AsTuple() < other.AsTuple();
  }
};

/** A step of a job without a run; the smallest starts first. */
struct StepWithoutRun {
  /** Since when the job has had no run, as far as this owner knows. */
  TimePoint since;
  /** Its turns under earlier owners are not known, but that it had one. */
  bool has_started = false;
  TimePoint arrived;
  ReadyKey key;

  auto AsTuple() const { return std::tie(since, has_started, arrived, key); }
  bool operator<(const StepWithoutRun& other) const {
    return AsTuple() < other.AsTuple();
  }
};

struct State {
  SchedulerOptions options;
  TimePoint claimed_at;
  /** Wall time at `TimePoint()`, by the latest reading of both clocks. */
  WallTime wall_origin;
  bool restored = false;  // all stored progress has been replayed
  /** Loads of the other cells, with the changes that this owner has planned,
   * and when they were measured. */
  std::vector<CellLoad> cell_loads;
  TimePoint cell_loads_at;
  std::deque<RecentMove> recent_moves;
  /** To be sent once the next plan is stored. */
  std::vector<CellMessage> messages;
  /** Cancellations of jobs that other cells run; may be sent at once. */
  std::vector<CellMessage> cancellations;
  uint64_t next_message_number = 1;
  Policy policy;
  InterferenceModel interference;
  LookAhead look_ahead;
  CapacityHolds capacity_holds;
  Relocations relocations;
  std::vector<KeptCapacity> kept_capacity;   // since the last plan
  std::map<int32_t, KeptPlace> kept_places;  // by worker
  std::optional<TimePoint> interference_stored_at;
  LeaseNotes lease_notes;
  /** Needs of the tasks that have a worker in this cell. */
  std::map<WorkspaceId, Resources> workspace_use;
  absl::flat_hash_map<JobId, std::unique_ptr<Job>> jobs;
  /** Cancellations that were read before their jobs. */
  std::set<JobId> early_cancellations;
  std::vector<WorkerState> workers;
  absl::flat_hash_map<WorkerId, int32_t> worker_index;
  std::set<ReadyKey> ready_steps;
  /** For each priority and rank, the step at which the next plan goes on, if
   * the last one left steps out. Their iterations may no longer exist. */
  std::map<std::pair<uint32_t, uint32_t>, ReadyKey> resume_at;
  /** As `resume_at`, of jobs without a run. */
  std::optional<StepWithoutRun> resume_without_run_at;
  /** Due times of iterations that do not exist yet. */
  std::multimap<WallTime, Job*> upcoming_iterations;
  /** Iterations whose record must be written. */
  std::vector<Iteration*> dirty_iterations;
  /** Tasks in the phase `kStopping`. */
  std::map<TaskName, TaskRef> stopping_tasks;
  /** Stops of runs that no task accounts for. */
  std::vector<StopRunCommand> pending_stops;
  /** Short step with which the next search for steps to hand on begins. */
  std::optional<ReadyKey> next_step_to_move;
  TimePoint next_waiting_log;
  TimePoint next_turn;                 // of late work under overload
  TimePoint next_opportunistic_start;  // under load
  TimePoint next_pause_check;
  size_t pause_check_position = 0;  // the worker that was considered last
  /** States in the plan's records, which are published once it is stored. */
  std::vector<std::pair<JobId, JobState>> jobs_to_publish;
  /** Iterations that had tasks in several cells, whose end is part of the last
   * plan's records, and those whose end is stored. */
  std::vector<std::pair<JobId, uint32_t>> ended_iterations_planned;
  std::vector<std::pair<JobId, uint32_t>> ended_iterations_stored;
  /** Ended jobs by the time at which they are deleted. */
  std::multimap<TimePoint, JobId> ended_jobs;
  /** Jobs that were deleted: their records may be read again. With the keys of
   * their progress, until the store has deleted their submissions. */
  absl::flat_hash_map<JobId, std::vector<std::string>> deleted_jobs;
  /** Keys of progress that the next plan deletes. */
  std::vector<std::string> deleted_progress;
  /** Those of them whose submissions the store has deleted, and when. */
  std::deque<std::pair<TimePoint, JobId>> deleted_submissions;
  /** Recent ends of workers on which no run had just started. */
  std::deque<TimePoint> unexplained_ends;
  std::optional<TimePoint> last_worker_end;
  /** Runs whose workers fell silent at the start, and until when an answer is
   * awaited that would show that they have ended; by counted task. */
  std::map<TaskName, std::map<RunNumber, TimePoint>> awaited_proofs;
  uint64_t next_sequence = 1;
  bool needs_plan = true;
  /** False until the platform's list of workers has been read. */
  bool knows_workers = true;
  std::optional<TimePoint> last_plan_at;
  SchedulerCounters counters;
  std::vector<Decision> decisions;
};

inline StepState& StepOf(const TaskRef& ref) {
  return ref.iteration->steps[ref.step];
}
inline const StepSpec& SpecOf(const TaskRef& ref) {
  return ref.iteration->job->spec.steps[ref.step];
}
/** For a change; see `TaskList`. */
inline Task& TaskOf(const TaskRef& ref) {
  return StepOf(ref).tasks[ref.index];
}
inline const Task& ReadTask(const TaskRef& ref) {
  return std::as_const(StepOf(ref).tasks)[ref.index];
}
inline TaskName NameOf(const TaskRef& ref) {
  return TaskName{ref.iteration->job->spec.id, ref.iteration->number, ref.step,
                  ref.index};
}

/** False for positions in records and messages that do not fit the job. */
inline bool HasTask(const Iteration& iteration, uint32_t step, uint32_t index) {
  return step < iteration.steps.size() &&
         index < iteration.steps[step].tasks.size();
}

/** Returns nothing if the job or the task does not exist. */
std::optional<TaskRef> FindTask(const State& state, const TaskName& name);

/** Adds a line to the decision log, unless the log is full. */
void LogDecision(State& state,
                 std::string_view event,
                 const TaskRef& ref,
                 std::string detail = {});

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHED_STATE_H_
