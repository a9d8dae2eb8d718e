#ifndef COWSLIPMAST_TESTS_SCHED_SIMULATED_CELLS_H_
#define COWSLIPMAST_TESTS_SCHED_SIMULATED_CELLS_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "tests/sched/simulated_cell.h"

namespace cowslipmast::sched {

/** Several simulated cells that exchange loads and messages in virtual time.
 * Checks that no task runs in two cells at once. */
class SimulatedCells {
 public:
  SimulatedCells(uint32_t cells,
                 int workers_per_cell,
                 int64_t cores,
                 const SchedulerFeatures& features = {});

  void SetQueue(const std::string& queue, const QueuePolicy& policy);
  void SetWorkspace(const std::string& workspace,
                    const WorkspacePolicy& policy);
  void Submit(const JobDefinition& job);
  void Cancel(const std::string& job);
  void Run(Duration duration);

  SimulatedCell& cell(size_t index) { return *m_cells[index]; }
  size_t size() const { return m_cells.size(); }
  /** Index of the cell that accepts a job. */
  size_t HomeOf(const std::string& job) const;
  /** An id, made from `prefix` and a number, of a job that the cell accepts. */
  std::string MakeIdFor(size_t cell, const std::string& prefix);
  /** State as its callers see it: that of the cell that runs it. */
  std::optional<JobState> StateOf(const std::string& job) const;
  size_t CountRunning(const std::string& job) const;
  /** Needs of all runs of the workspace's jobs on workers that are up. */
  Resources RunningOf(const std::string& workspace) const;
  /** Of all cells, and of the checks across them. */
  std::vector<std::string> Violations() const;
  /** Messages arrive after this time. */
  Duration message_delay = std::chrono::milliseconds(30);
  /** Delivers each message a second time, seconds later. */
  bool repeats_messages = false;
  /** Added to `message_delay` for one message. */
  std::function<Duration()> extra_message_delay;
  /** True if one cell's load reaches another one in this exchange; a cell
   * without an owner has none. */
  std::function<bool(size_t from, size_t to)> load_arrives;

  /** Jobs that were submitted, and those of them that were cancelled. */
  const std::map<JobId, JobDefinition>& jobs() const { return m_jobs; }
  const std::set<JobId>& cancelled_jobs() const { return m_cancelled; }
  TimePoint now() const { return m_cells[0]->now(); }
  bool IsDone(const TaskName& task) const;
  /** True if only the owners know whether it is done. */
  bool IsPossiblyDone(const TaskName& task) const;

 private:
  struct MessageInTransit {
    TimePoint arrives;
    CellMessage message;
  };
  void Advance();
  void ExchangeLoads();
  void CheckRuns();
  void CheckDoneTasks(const CellMessage& message);

  CellLayout m_layout;
  std::vector<std::unique_ptr<SimulatedCell>> m_cells;
  std::vector<MessageInTransit> m_in_transit;
  std::vector<std::string> m_violations;
  std::map<JobId, JobDefinition> m_jobs;
  std::set<JobId> m_cancelled;
  TimePoint m_next_exchange;
  int m_next_id = 0;
};

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_TESTS_SCHED_SIMULATED_CELLS_H_
