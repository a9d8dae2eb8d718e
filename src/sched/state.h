#ifndef COWSLIPMAST_SRC_SCHED_STATE_H_
#define COWSLIPMAST_SRC_SCHED_STATE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "cowslipmast/sched/scheduler.h"
#include "src/sched/pressure.h"

namespace cowslipmast::sched {

enum class TaskPhase : uint8_t {
  kBlocked,    // an earlier step is not done
  kReady,      // waits for a place
  kPlanned,    // has a place; the record is not stored or the start not sent
  kUncertain,  // the start's reply was lost
  kRunning,
  kStopping,  // is to stop, or must not start any more
  kDone,
};

/** No worker. */
inline constexpr int32_t kNowhere = -1;

/** A pace that no command asks for, so that the next one is sent. */
inline constexpr uint32_t kPaceUnknown = 101;

struct Task {
  TaskPhase phase = TaskPhase::kBlocked;
  int32_t worker = kNowhere;  // index into `State::workers`
  RunNumber run;              // of the latest start; 0 before the first
  uint32_t failures = 0;
  TimePoint ready_since;  // while the task waits for a place
  std::string checkpoint;
  /** A listing that was asked for after this time shows the run if it is
   * there; not set while the start is on its way. */
  std::optional<TimePoint> visible_from;
  /** When the stop was last sent. */
  std::optional<TimePoint> stop_sent;
  uint32_t percent = 0;
  /** When `percent` last changed, or the run was first listed. */
  std::optional<TimePoint> progressed;
  std::optional<int64_t> load;
  uint32_t pace = 100;  // percent, as last commanded
  uint32_t wanted_pace = 100;
  double own_load = kUsualOwnLoad;  // of a serving task, without pressure
  double utilisation = 0;           // of a serving task, as last read
  uint64_t read_listing = 0;        // number of the listing with that reading
  uint64_t listing = 0;  // number of the last listing that showed the run
};

struct Step {
  std::vector<Task> tasks;
  std::vector<uint32_t> ready;  // indices of the tasks that wait for a place
  uint32_t open = 0;            // tasks that are not done
  ImageIndex image = 0;         // in the list of serving or filling images
  bool unblocked = false;
};

struct Job;

/** One run through a job's steps. */
struct Iteration {
  Job* job = nullptr;
  uint32_t number = 0;
  std::vector<Step> steps;
  uint32_t open = 0;  // steps that are not done
  TimePoint due;
  bool dirty = false;  // changed since its record was made
};

struct Job {
  JobSpec spec;
  JobState state = JobState::kQueued;
  JobState shown = JobState::kQueued;  // as stored; what callers may see
  std::map<uint32_t, std::unique_ptr<Iteration>> iterations;
  uint32_t next_iteration = 0;
  uint32_t iterations_done = 0;
  uint64_t sequence = 0;  // order of arrival
  TimePoint arrived;
  uint32_t placed = 0;  // tasks on a worker
  bool has_started = false;
  std::optional<TimePoint> ended_at;
};

/** One task of one iteration. */
struct TaskRef {
  Iteration* iteration = nullptr;
  uint32_t step = 0;
  uint32_t index = 0;

  bool operator==(const TaskRef&) const = default;
};

enum class Contact : uint8_t {
  kUnseen,  // has not answered this owner yet
  kInTouch,
  kSilent,
};

/** What the ends of a worker's tasks say about its health. */
struct WorkerHealth {
  uint32_t failure_streak = 0;  // failed runs since the last one that was done
  std::optional<TimePoint> avoid_until;
  bool probing = false;  // takes one task to see whether it works again
};

struct Worker {
  WorkerInfo info;
  bool listed = false;  // by the platform
  Contact contact = Contact::kUnseen;
  int64_t born_ms = 0;  // of the life that answered last
  std::optional<WorkerClock> clock;
  TimePoint clock_at;  // when `clock` was received
  WorkerClock lease_sent;
  /** From then on nothing runs there unless a lease is extended. */
  TimePoint lease_over;
  Resources reserved;  // by tasks that count against capacity
  MilliCores filling;  // cpu of tasks that fill
  MilliCores lasting;  // cpu of lasting tasks, part of `reserved`
  std::vector<TaskRef> tasks;
  uint64_t ends_applied = 0;
  uint64_t ends_planned = 0;
  uint64_t ends_stored = 0;
  uint64_t listings = 0;
  std::optional<TimePoint> full_until;  // it refused a start for want of room
  WorkerHealth health;
  /** Factor on the pace of all filling tasks, for tails over their targets
   * that pacing by the pressure model does not help. */
  double fill_factor = 1.0;
  uint32_t over_target = 0;          // listings in a row with such a tail
  std::vector<FillingShare> shares;  // of filling images, as last listed
};

/** Order in which waiting steps get a place; the smallest is first. */
struct ReadyKey {
  uint32_t priority = 0;
  uint32_t rank = 0;
  uint64_t sequence = 0;
  uint32_t iteration = 0;
  uint32_t step = 0;
  Iteration* owner = nullptr;

  auto AsTuple() const {
    return std::tie(priority, rank, sequence, iteration, step);
  }
  bool operator<(const ReadyKey& other) const {
    return AsTuple() < other.AsTuple();
  }
};

struct State {
  SchedulerOptions options;
  TimePoint claimed;
  bool restored = false;  // the stored progress is complete
  Policy policy;
  PressureModel pressure;
  std::optional<TimePoint> pressure_stored_at;
  absl::flat_hash_map<JobId, std::unique_ptr<Job>> jobs;
  /** Cancellations that were read before their jobs. */
  std::set<JobId> cancelled_early;
  std::vector<Worker> workers;
  absl::flat_hash_map<WorkerId, int32_t> worker_index;
  std::set<ReadyKey> ready;
  /** Due times of iterations that do not exist yet. */
  std::multimap<WallTime, Job*> timed;
  /** Iterations whose record must be written. */
  std::vector<Iteration*> dirty;
  std::vector<StopCommand> stops;
  /** Jobs whose shown state follows once the plan is stored. */
  std::vector<JobId> to_show;
  /** Ended jobs in the order in which they are forgotten. */
  std::multimap<TimePoint, JobId> ended;
  uint64_t next_sequence = 1;
  bool changed = true;
  SchedulerCounters counters;
  std::vector<Decision> decisions;
};

inline Step& StepOf(const TaskRef& ref) {
  return ref.iteration->steps[ref.step];
}
inline const StepSpec& SpecOf(const TaskRef& ref) {
  return ref.iteration->job->spec.steps[ref.step];
}
inline Task& TaskOf(const TaskRef& ref) {
  return StepOf(ref).tasks[ref.index];
}
inline TaskName NameOf(const TaskRef& ref) {
  return TaskName{ref.iteration->job->spec.id, ref.iteration->number, ref.step,
                  ref.index};
}

/** Finds a task by name; nothing if the job or the task does not exist. */
std::optional<TaskRef> FindTask(const State& state, const TaskName& name);

/** Adds a line to the decision log. */
void Note(State& state,
          std::string_view what,
          const TaskRef& ref,
          std::string detail = {});

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHED_STATE_H_
