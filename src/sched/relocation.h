#ifndef COWSLIPMAST_SRC_SCHED_RELOCATION_H_
#define COWSLIPMAST_SRC_SCHED_RELOCATION_H_

#include <map>
#include <optional>
#include <vector>

#include "src/sched/displacement.h"
#include "src/sched/state.h"

namespace cowslipmast::sched {

/** In a cell; each costs its task about a second of work. */
inline constexpr size_t kMaxRelocationsPerSecond = 10;

/** Room on one worker, and long-running tasks there that would fit on another
 * one. */
struct MovableTasks {
  int32_t worker = kNoWorker;
  /** Free there once all that may be displaced is gone. */
  Resources room;
  /** The room is too small for each overdue task that waits: one that fits goes
   * there itself. */
  bool may_take_moved = false;
  std::vector<TaskRef> tasks;
};

/** A worker on which a waiting task fits once a smaller one has moved. */
struct RoomByMove {
  int32_t worker = kNoWorker;
  Displacement displacement;
  TaskRef moved;
  int32_t target = kNoWorker;
  Displacement displacement_at_target;
};

/** The cell's workers that may get tasks, with the tasks that may move. */
std::vector<MovableTasks> FindMovableTasks(const State& state, TimePoint now);

/** How moves within the cell would change the room on single workers, by index,
 * so that it is in larger pieces; no more moves than may begin in a second. */
std::map<int32_t, Resources> ChangesByMoves(const State& state, TimePoint now);

/** Number of workers on which the task would fit once one of their tasks had
 * moved; does not see limits on tasks of one step. */
size_t CountRoomByMoves(const State& state,
                        const std::vector<MovableTasks>& movable,
                        const TaskRef& beneficiary,
                        TimePoint now);

/** The move that makes room for the task at the least cost: without displaced
 * tasks if possible, then of the smallest task. */
std::optional<RoomByMove> FindRoomByMove(
    const State& state,
    const std::vector<MovableTasks>& movable,
    const TaskRef& beneficiary,
    TimePoint now);

/** True if another task of the step will have a place on the worker, of a step
 * that limits how many of its tasks a worker runs. */
bool IsOneTooMany(const State& state, const TaskRef& ref, int32_t worker);

/** Holds room at the target for a task that is being stopped at its source, and
 * starts there once it has ended. */
void HoldTarget(State& state,
                const TaskRef& ref,
                int32_t source,
                int32_t target,
                TimePoint now);

/** True while the limits on relocations leave one more. */
bool MayRelocate(State& state, TimePoint now);

/** Stops the task that moves, and holds its place at the target. */
void BeginRelocation(State& state,
                     const RoomByMove& room,
                     const TaskRef& beneficiary,
                     TimePoint now);

/** Starts relocated tasks whose runs have ended, before anything else may take
 * their places, and ends relocations that cannot succeed. */
void PlaceRelocatedTasks(State& state, TimePoint now, Plan& plan);

/** True if a task of the step is to go on at that worker. */
bool IsTargetOfStep(const State& state, const StepName& step, int32_t worker);

/** True while a task that is relocated may still stop on that worker. */
bool IsBeingLeft(const State& state, int32_t worker, TimePoint now);

/** To be called when a start of the task is planned. False if it is not being
 * relocated. */
bool EndRelocationForStart(State& state, const TaskRef& ref);

/** Held on the worker for relocated tasks other than this one. */
Resources HeldForRelocations(const State& state,
                             const WorkerState& worker,
                             const TaskRef& ref);

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHED_RELOCATION_H_
