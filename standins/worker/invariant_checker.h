#ifndef COWSLIPMAST_STANDINS_WORKER_INVARIANT_CHECKER_H_
#define COWSLIPMAST_STANDINS_WORKER_INVARIANT_CHECKER_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "cowslipmast/ids.h"
#include "cowslipmast/units.h"
#include "standins/common/json.h"
#include "standins/worker/task_lease.h"

namespace cowslipmast::standins {

enum class WorkerViolationKind {
  kOverCapacity,               // more declared resources than the worker has
  kConcurrentRuns,             // a task runs in two places at once
  kStartedTooLate,             // started after its `not_after`
  kAttemptStartedTwice,        // the same attempt started again
  kResumedTwice,               // an eviction was followed by two resumptions
  kStartedAfterDone,           // a task that was done started again
  kStartedInDrainedDataCentre  // started where operators had taken work out
};

const char* WorkerViolationName(WorkerViolationKind kind);

struct WorkerViolation {
  WorkerViolationKind kind = WorkerViolationKind::kOverCapacity;
  std::string worker;
  TaskRun run;
};

/** A start that a worker carried out. */
struct StartEvent {
  std::string worker;
  DataCentreId data_centre;
  TaskRun run;
  TimePoint now;
  bool late = false;  // after its `not_after`
  Resources used;     // on the worker, with this task
  Resources capacity;
};

/** Follows what all workers do and records what must never happen. */
class InvariantChecker {
 public:
  /** Starts later than `drain_limit` after a drain are violations. */
  explicit InvariantChecker(Duration drain_limit);

  void OnStart(const StartEvent& event);
  void OnEnd(const std::string& worker,
             const TaskRun& run,
             LeaseOutcome result);
  /** Operators took a data centre out of service, or returned it. */
  void SetDataCentreDrained(const DataCentreId& id,
                            bool drained,
                            TimePoint now);

  const std::vector<WorkerViolation>& violations() const {
    return m_violations;
  }
  Json Stats() const;

 private:
  struct RunningAttempt {
    std::string worker;
    Attempt attempt;
    auto operator<=>(const RunningAttempt&) const = default;
  };
  struct TaskHistory {
    std::set<RunningAttempt> running;
    std::set<Attempt> attempts;
    uint64_t done = 0;
    bool evicted = false;  // since then at most one resumption may hold
    uint64_t resumptions = 0;
  };
  struct Counters {
    uint64_t starts = 0;
    uint64_t done = 0;
    uint64_t failed = 0;
    uint64_t evictions = 0;
    uint64_t lost_leases = 0;
  };

  void CheckTaskHistory(const StartEvent& event, TaskHistory& history);
  void CheckWorkerAndTime(const StartEvent& event);
  void AddViolation(WorkerViolationKind kind, const StartEvent& event);

  Duration m_drain_limit;
  std::map<TaskId, TaskHistory> m_tasks;
  std::map<DataCentreId, TimePoint> m_drained_at;
  std::vector<WorkerViolation> m_violations;
  Counters m_counters;
};

}  // namespace cowslipmast::standins

#endif  // COWSLIPMAST_STANDINS_WORKER_INVARIANT_CHECKER_H_
