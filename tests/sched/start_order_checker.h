#ifndef COWSLIPMAST_TESTS_SCHED_START_ORDER_CHECKER_H_
#define COWSLIPMAST_TESTS_SCHED_START_ORDER_CHECKER_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "tests/sched/simulated_cell.h"

namespace cowslipmast::sched {

/** Checks that no long-running task starts in a place in which one fits that
 * had a run before and has been without one for longer. Sees workers and runs,
 * and nothing that the scheduler knows; counts as free only what has been so
 * for long enough to be known, and as waiting only tasks whose loss must be
 * known. */
class StartOrderChecker {
 public:
  explicit StartOrderChecker(SimulatedCell& cell) : m_cell(cell) {}

  /** The cell gets the job. */
  void AddJob(const JobDefinition& job) { m_jobs[job.id] = job; }
  /** The job is cancelled. */
  void RemoveJob(const JobId& job);
  /** The owner is replaced now. */
  void NoteOwnerChange() { m_owner_since = m_cell.now(); }
  /** To be called in each time step, after the cell has advanced. */
  void Observe();

  /** Each start that passed over a task, with what was known of both. */
  const std::vector<std::string>& found() const { return m_found; }
  /** Starts beside a waiting task that had a run. */
  size_t checked_starts() const { return m_checked_starts; }

 private:
  struct Seen {
    RunNumber run;
    size_t worker = 0;
    bool is_running = false;  // on a worker that is up
    TimePoint last_run;       // on a worker that could tell
    TimePoint known_at;       // that it has no run
  };
  struct EndedNeed {
    Resources need;
    TimePoint at;
  };

  void NoteEnds();
  std::vector<std::pair<TaskName, std::optional<TimePoint>>> NoteStarts();
  void CheckStart(const TaskName& started, std::optional<TimePoint> last_run);
  bool MustBeKnown(const TaskName& task, const Seen& seen) const;
  bool FitsInPlaceOf(const TaskName& task, const TaskName& started) const;
  const StepSpec& SpecOf(const TaskName& task) const;
  uint32_t PriorityOf(const TaskName& task) const;

  SimulatedCell& m_cell;
  std::map<JobId, JobDefinition> m_jobs;
  std::set<JobId> m_cancelled;
  std::map<TaskName, Seen> m_tasks;  // long-running ones that had a run
  /** Runs of all kinds in the last observation, by worker. */
  std::map<size_t, std::set<TaskName>> m_runs;
  std::map<size_t, std::vector<EndedNeed>> m_ended;  // lately
  TimePoint m_owner_since;
  std::vector<std::string> m_found;
  size_t m_checked_starts = 0;
};

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_TESTS_SCHED_START_ORDER_CHECKER_H_
