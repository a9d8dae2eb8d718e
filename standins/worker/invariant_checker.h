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
  kOverCapacity,               // declared resources exceed the worker's
  kConcurrentRuns,             // two runs of a task at the same time
  kStartedTooLate,             // started after its `not_after`
  kAttemptStartedTwice,        // an attempt started more than once
  kResumedTwice,               // resumed twice after one eviction
  kStartedAfterDone,           // started again after it was done
  kStartedInDrainedDataCentre  // started in a drained data centre
};

const char* WorkerViolationName(WorkerViolationKind kind);

struct WorkerViolation {
  WorkerViolationKind kind = WorkerViolationKind::kOverCapacity;
  std::string worker;
  TaskRun run;
};

/** A task start that a worker accepted. */
struct StartEvent {
  std::string worker;
  DataCentreId data_centre;
  TaskRun run;
  TimePoint now;
  bool late = false;  // after the `not_after` of the command
  Resources used;     // on the worker, including this task
  Resources capacity;
};

/** Observes task starts and ends on all workers and records violations of the
 * scheduler's guarantees. */
class InvariantChecker {
 public:
  /** A start in a drained data centre is a violation if it comes later than
   * `drain_limit` after the drain. */
  explicit InvariantChecker(Duration drain_limit);

  void OnStart(const StartEvent& event);
  void OnEnd(const std::string& worker,
             const TaskRun& run,
             LeaseOutcome result);
  /** Records that operators drained a data centre or returned it to service. */
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
    bool evicted = false;
    uint64_t resumptions = 0;  // after the eviction; at most one is allowed
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
