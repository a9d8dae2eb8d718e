#ifndef COWSLIPMAST_SCHED_JOB_H_
#define COWSLIPMAST_SCHED_JOB_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cowslipmast/ids.h"
#include "cowslipmast/units.h"

namespace cowslipmast::sched {

using ImageId = Id<struct ImageTag>;
using QueueId = Id<struct QueueTag>;
using RackId = Id<struct RackTag>;
using WorkerId = Id<struct WorkerTag>;
using WorkspaceId = Id<struct WorkspaceTag>;
/** Number of a run, that is of one start of a task; 1 is the first. */
using RunNumber = Number<struct RunNumberTag>;

/** A step of a job: a number of equal tasks, and what they need. */
struct StepSpec {
  uint32_t count = 0;
  Resources need;                    // of each task
  Duration estimate{0};              // approximate run time of a task
  std::vector<uint32_t> depends_on;  // earlier steps that must be done first
  bool checkpointing = false;        // tasks continue from a checkpoint
  bool gang = false;                 // the tasks run together or not at all
  bool same_rack = false;            // the tasks are slower across racks
  bool speculative = false;          // copies may run; the first to end counts
  bool long_running = false;         // runs until the job is cancelled
  bool best_effort = false;          // runs on CPU time that others leave idle
  std::string label;                 // that the worker must have; empty for any
  RackId data_rack;  // tasks are slower on other racks; empty for any
  uint32_t max_per_worker = 0;  // 0 for no limit
  ImageId image;                // tasks of one image behave alike
  /** Target for the tail latency of the task's own callers; 0 for none. */
  Duration latency_target{0};
  /** Long-running tasks that the scheduler itself may make unavailable. */
  uint32_t max_unavailable = 0;

  bool operator==(const StepSpec&) const = default;
};

/** Operator settings for the jobs of a queue. */
struct QueuePolicy {
  ServiceId service;          // the pool of workers that runs its tasks
  uint32_t priority = 0;      // 0 comes first
  uint32_t max_attempts = 1;  // failed runs of a task after which the job fails
  /** An iteration's objective is to end this factor times the critical path of
   * its steps, plus the offset, after it is due. */
  double critical_path_factor = 1.0;
  Duration objective_offset{0};

  bool operator==(const QueuePolicy&) const = default;
};

/** A job as submitted by its caller. */
struct JobDefinition {
  JobId id;
  QueueId queue;
  std::string payload;  // passed to each task unchanged
  std::vector<StepSpec> steps;
  uint32_t iterations = 0;  // 0 runs the steps once, immediately
  WallTime first_due;       // of iteration 0
  Duration interval{0};     // between iterations
  WallTime accepted;        // when the submission was accepted
  /** Policy of the queue at that time. It counts once the operators have
   * removed the queue; nothing in records of earlier versions. */
  std::optional<QueuePolicy> accepted_policy;
  /** Whose key the submission had; empty for none. */
  WorkspaceId workspace{};

  bool operator==(const JobDefinition&) const = default;
};

enum class JobState { kQueued, kActive, kCompleted, kFailed, kCancelled };

/** Identifies one task of one iteration of a job. */
struct TaskName {
  JobId job;
  uint32_t iteration = 0;
  uint32_t step = 0;
  uint32_t index = 0;

  auto operator<=>(const TaskName&) const = default;

  template <typename H>
  friend H AbslHashValue(H state, const TaskName& name) {
    return H::combine(std::move(state), name.job, name.iteration, name.step,
                      name.index);
  }
};

/** Worker instances that ended while they ran a task, or may have run it. */
struct CrashCount {
  uint32_t total = 0;
  uint32_t blamed = 0;  // proven ones that ended just after its start
  uint32_t proven = 0;  // that certainly ran it when they ended

  bool operator==(const CrashCount&) const = default;
};

/** Returns a stable name for logs and messages. */
std::string_view JobStateName(JobState state);

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SCHED_JOB_H_
