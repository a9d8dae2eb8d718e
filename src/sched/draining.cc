#include "src/sched/draining.h"

#include <algorithm>
#include <optional>
#include <vector>

#include "src/sched/assignment.h"
#include "src/sched/capacity_holds.h"
#include "src/sched/crash_suspects.h"
#include "src/sched/jobs.h"
#include "src/sched/relocation.h"
#include "src/sched/reservations.h"
#include "src/sched/task_placement.h"
#include "src/sched/worker_score.h"
#include "src/sched/workers.h"
#include "src/sched/workspace_caps.h"

namespace cowslipmast::sched {

namespace {

bool MayLeave(const TaskRef& ref) {
  const StepSpec& spec = SpecOf(ref);
  return ReadTask(ref).phase == SchedulingPhase::kRunning && !spec.gang &&
         (spec.long_running || spec.checkpointing);
}

// Room is held for long-running tasks, but for capped ones: while they move,
// other work of their workspace could use up the cap.
bool HoldsRoom(const State& state, const TaskRef& ref) {
  const StepSpec& spec = SpecOf(ref);
  return spec.long_running && !spec.best_effort && !IsCapped(state, ref);
}

// The next task of each step that has lost tasks, and may start.
std::vector<TaskRef> FindLostTasks(const State& state, TimePoint now) {
  std::vector<TaskRef> tasks;
  for (const ReadyKey& key : FindLostSteps(state, now)) {
    const std::vector<uint32_t>& ready =
        key.iteration->steps[key.step].ready_tasks;
    if (ready.empty() || IsHeldBackByCap(state, key))
      continue;
    const TaskRef ref{key.iteration, key.step, ready.back()};
    if (!IsHeldBack(state, ref))
      tasks.push_back(ref);
  }
  return tasks;
}

// True if the room is for one of the lost tasks, which have no run at all.
bool IsForLostTask(const State& state,
                   const std::vector<TaskRef>& lost,
                   const WorkerState& worker,
                   const Resources& room,
                   const TaskRef& moved,
                   TimePoint now) {
  const uint32_t priority = PolicyOf(state, *moved.iteration->job).priority;
  return std::any_of(lost.begin(), lost.end(), [&](const TaskRef& ref) {
    return Fits(SpecOf(ref).need, room) &&
           PolicyOf(state, *ref.iteration->job).priority <= priority &&
           MayRunOn(state, worker, ref, now);
  });
}

// The best worker with room for the long-running task on which no lost task
// fits. The part of the capacity that is left to short work does not keep it
// off: it would be lost with its worker.
int32_t FindRoom(const State& state,
                 const std::vector<TaskRef>& lost,
                 const TaskRef& ref,
                 TimePoint now) {
  int32_t best = kNoWorker;
  double best_score = 0;
  for (size_t i = 0; i < state.workers.size(); ++i) {
    const WorkerState& worker = state.workers[i];
    const auto index = static_cast<int32_t>(i);
    if (!Fits(SpecOf(ref).need, FreeCapacity(worker)))
      continue;
    const Resources free = FreeCapacityFor(state, worker, ref, now);
    if (!Fits(SpecOf(ref).need, free) || !MayRunOn(state, worker, ref, now) ||
        IsOneTooMany(state, ref, index) ||
        FindBlockingReservation(state, worker, ref, now) != nullptr ||
        IsForLostTask(state, lost, worker, free, ref, now))
      continue;
    const auto score = ScoreOf(state, worker, ref, {});
    if (score && (best == kNoWorker || *score > best_score)) {
      best = index;
      best_score = *score;
    }
  }
  return best;
}

void MoveIfRoom(State& state,
                const std::vector<TaskRef>& lost,
                int32_t source,
                const TaskRef& ref,
                TimePoint now) {
  const int32_t target = FindRoom(state, lost, ref, now);
  if (target == kNoWorker)
    return;
  LogDecision(state, "run_moved", ref, "worker is draining");
  HoldTarget(state, ref, source, target, now);
  StopTask(state, ref);
}

}  // namespace

void StopTasksOfDrainingWorkers(State& state, TimePoint now) {
  std::optional<std::vector<TaskRef>> lost;
  for (size_t i = 0; i < state.workers.size(); ++i) {
    const WorkerState& worker = state.workers[i];
    if (!worker.info.draining ||
        worker.reachability != Reachability::kReachable)
      continue;
    for (const TaskRef& ref : worker.tasks) {
      if (!MayLeave(ref))
        continue;
      if (HoldsRoom(state, ref)) {
        if (!lost)
          lost = FindLostTasks(state, now);
        MoveIfRoom(state, *lost, static_cast<int32_t>(i), ref, now);
        continue;
      }
      if (FindWorkerForTask(state, ref, now) == kNoWorker)
        continue;
      LogDecision(state, "run_moved", ref, "worker is draining");
      StopTask(state, ref);
    }
  }
}

}  // namespace cowslipmast::sched
