#ifndef COWSLIPMAST_SRC_SCHED_WORKSPACE_CAPS_H_
#define COWSLIPMAST_SRC_SCHED_WORKSPACE_CAPS_H_

#include <optional>
#include <string>

#include "src/sched/state.h"

namespace cowslipmast::sched {

/** What a cell may run of a workspace without asking another cell; where the
 * cap has no limit, neither has the part. The parts of all cells add up to the
 * cap. */
Resources PartOfCap(const Resources& cap,
                    const CellLayout& layout,
                    const WorkspaceId& workspace,
                    CellId cell);

/** The cell that may run a task that needs more than a part of the cap. */
CellId CellForOversizedTasks(const CellLayout& layout,
                             const WorkspaceId& workspace);

/** Counts what the task needs as in use by its workspace. A best-effort task
 * counts with its full CPU: it may use as much when others leave it. */
void AddToWorkspace(State& state, const TaskRef& ref);
void RemoveFromWorkspace(State& state, const TaskRef& ref);

/** True if the task's workspace has a cap. */
bool IsCapped(const State& state, const TaskRef& ref);

enum class CapVerdict {
  kAllowed,
  kPartUsedUp,  // this cell's part of the cap has no room for it
  kOversized,   // needs more than this cell's part of the cap
};

/** Whether the task, or all tasks of its gang, may start as far as the cap of
 * its workspace is concerned. */
CapVerdict CheckCap(const State& state, const TaskRef& ref);

/** True if the next task of the waiting step may not start because of its
 * workspace's cap. */
bool IsHeldBackByCap(const State& state, const ReadyKey& key);

/** The cell to which a step must move since its tasks need more than this
 * cell's part of the cap; nothing if they may run here. */
std::optional<CellId> CellOfOversizedStep(const State& state,
                                          const ReadyKey& key);

/** The task's workspace, its use and its limit here, for the decision log;
 * empty without a workspace. */
std::string DescribeCap(const State& state, const TaskRef& ref);

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHED_WORKSPACE_CAPS_H_
