#ifndef COWSLIPMAST_SRC_SCHED_CHOOSE_CELL_H_
#define COWSLIPMAST_SRC_SCHED_CHOOSE_CELL_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cowslipmast/sched/cell.h"

namespace cowslipmast::sched {

enum class WorkKind {
  kShort,
  kLongRunning,
  kBestEffort,
  // Tasks that have waited too long: they go to any cell that can start them.
  kOverdueShort,
  kOverdueLongRunning,
  kOverdueBestEffort
};

/** Work that waits in a cell. */
struct WaitingWork {
  ServiceId service;
  WorkKind kind = WorkKind::kShort;
  MilliCores need;  // of all its tasks that wait; part of the cell's own load
  Resources task_need{};        // of one task
  uint32_t max_per_worker = 0;  // tasks on one worker; 0 for no limit
  size_t step_tasks = 1;        // of the step, waiting or not
  size_t min_tasks = 1;  // that a cell must be able to start: all of a gang
  /** May go where it must displace other tasks: it can't in its own cell. */
  bool may_reclaim = false;
  /** How long a lost task has had no run; nothing for other work. */
  std::optional<Duration> without_run = std::nullopt;
  /** Age of the other cells' loads, in which waits were shorter. */
  Duration load_age{0};
  /** A lost task that may go where fewer lost tasks have waited for longer. */
  bool may_rebalance = false;
  /** It came here a moment ago: it goes back only where it has a place, as full
   * cells must not send it to and fro. */
  bool has_just_moved = false;
  std::string label;
  Duration waited{0};
  uint32_t hop = 0;  // cells that it has moved through already
  /** A cell that could not place the work; chosen only if no other one suits.
   */
  std::optional<CellId> came_from = std::nullopt;
  /** Tasks of the step that were moved to each cell: with `max_per_worker` its
   * workers may have no place for another one. */
  std::map<CellId, size_t> moved_tasks{};
  /** Chooses among cells of equal merit, so that owners with the same view do
   * not all choose the same one. */
  uint64_t random = 0;
};

/** Cell that the work should move to; nothing if it stays.
 *
 * Meant for cells that share a load unevenly: hashing gives one cell twice as
 * many long-running jobs as another, and failed workers leave a cell full while
 * others have capacity. Long-running work leaves a cell only down to the mean
 * use of all cells, so that cells with the same view do not overload the
 * emptiest one; overdue work goes only where workers that may run it have free
 * capacity in pieces that are large enough, and a lost task of a full cell
 * where it is served sooner. Short and best-effort work leaves only after it
 * has waited, for a cell where nothing waits; overdue short work also for one
 * with capacity beside what waits, or that is less than half used. Work that no
 * worker here could ever run goes to any cell where one could. */
std::optional<CellId> ChooseCell(const WaitingWork& work,
                                 const CellLoad& own,
                                 const std::vector<CellLoad>& others);

/** True if the cell has a worker with the work's label that is large enough for
 * one task, used or not. */
bool CouldRun(const ServiceLoad& load, const WaitingWork& work);

/** Number of the work's tasks that the free pieces of the service's workers
 * with its label hold; for lost tasks also what is kept for them. */
size_t CountFittingTasks(const ServiceLoad& load, const WaitingWork& work);

/** As `CountFittingTasks`, with the capacity of tasks that may be displaced. */
size_t CountReclaimableTasks(const ServiceLoad& load, const WaitingWork& work);

/** Adds a lost task to those that wait in the cell. */
void AddLostTask(ServiceLoad& load, const LostTask& task);

/** Takes a lost task that has waited for so long from those that wait there. */
void TakeLostTask(ServiceLoad& load, Duration waited);

/** Takes the capacity for that many tasks out of the pieces. */
void TakePieces(ServiceLoad& load, const WaitingWork& work, size_t tasks);

/** The load of a service in a cell; null if the cell has none. */
ServiceLoad* FindServiceLoad(CellLoad& load, const ServiceId& service);
const ServiceLoad* FindServiceLoad(const CellLoad& load,
                                   const ServiceId& service);

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHED_CHOOSE_CELL_H_
