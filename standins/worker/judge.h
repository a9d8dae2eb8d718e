#ifndef COWSLIPMAST_STANDINS_WORKER_JUDGE_H_
#define COWSLIPMAST_STANDINS_WORKER_JUDGE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "cowslipmast/ids.h"
#include "cowslipmast/units.h"
#include "standins/common/json.h"
#include "standins/worker/task.h"

namespace cowslipmast::standins {

enum class ViolationKind {
  kOverCapacity,           // more declared resources than the worker has
  kTwoPlaces,              // a task runs in two places at once
  kStartedTooLate,         // started after its `not_after`
  kAttemptStartedTwice,    // the same attempt started again
  kResumedTwice,           // an eviction was followed by two resumptions
  kStartedAfterDone,       // a task that was done started again
  kStartedInDrainedCentre  // started where operators had taken work out
};

const char* ViolationName(ViolationKind kind);

struct Violation {
  ViolationKind kind = ViolationKind::kOverCapacity;
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
class Judge {
 public:
  /** Starts later than `drain_limit` after a drain are violations. */
  explicit Judge(Duration drain_limit);

  void OnStart(const StartEvent& event);
  void OnEnd(const std::string& worker, const TaskRun& run, TaskResult result);
  /** Operators took a data centre out of service, or returned it. */
  void OnDataCentre(const DataCentreId& id, bool out, TimePoint now);

  const std::vector<Violation>& violations() const { return m_violations; }
  Json Stats() const;

 private:
  struct Place {
    std::string worker;
    Attempt attempt;
    auto operator<=>(const Place&) const = default;
  };
  struct TaskHistory {
    std::set<Place> running;
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

  void CheckTask(const StartEvent& event, TaskHistory& history);
  void CheckPlace(const StartEvent& event);
  void Record(ViolationKind kind, const StartEvent& event);

  Duration m_drain_limit;
  std::map<TaskId, TaskHistory> m_tasks;
  std::map<DataCentreId, TimePoint> m_out_since;
  std::vector<Violation> m_violations;
  Counters m_counters;
};

}  // namespace cowslipmast::standins

#endif  // COWSLIPMAST_STANDINS_WORKER_JUDGE_H_
