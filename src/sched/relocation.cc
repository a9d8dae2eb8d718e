#include "src/sched/relocation.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <tuple>
#include <utility>

#include "src/sched/assignment.h"
#include "src/sched/capacity_holds.h"
#include "src/sched/crash_suspects.h"
#include "src/sched/jobs.h"
#include "src/sched/order.h"
#include "src/sched/reservations.h"
#include "src/sched/step_name.h"
#include "src/sched/task_placement.h"
#include "src/sched/workers.h"
#include "src/sched/workspace_caps.h"

namespace cowslipmast::sched {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kMaxPendingRelocations = 16;
// So that a task that was lost or moved just now is not interrupted again.
constexpr Duration kMinRunBeforeMove = seconds(10);
// While its run stops: for the task that is to take its place, and of its place
// at the target.
constexpr Duration kMaxWaitForSource = seconds(4);
// From the end of the run to the start at the target, which displaced tasks may
// still have to leave.
constexpr Duration kMaxWaitForTarget = seconds(3);

const WorkerState& WorkerAt(const State& state, int32_t index) {
  return state.workers[static_cast<size_t>(index)];
}

WorkerState& WorkerAt(State& state, int32_t index) {
  return state.workers[static_cast<size_t>(index)];
}

Resources RoomWithoutDisplaceable(const WorkerState& worker) {
  return FreeCapacity(worker) - worker.held + worker.displaceable;
}

bool IsAtWork(const State& state, const Task& task) {
  return task.phase == SchedulingPhase::kRunning &&
         task.progress_percent >= 100 &&
         WorkerAt(state, task.worker).reachability == Reachability::kReachable;
}

// True if the scheduler may make one more task of the step unavailable.
bool MayBeUnavailable(const State& state, const TaskRef& ref) {
  const uint32_t limit = SpecOf(ref).max_unavailable;
  if (limit == 0)
    return true;
  const TaskList& tasks = StepOf(ref).tasks;
  size_t unavailable = 1;
  for (uint32_t i = 0; i < tasks.size(); ++i)
    unavailable += i != ref.index && !IsAtWork(state, tasks[i]) ? 1 : 0;
  return unavailable <= limit;
}

bool IsMovable(const State& state, const TaskRef& ref, TimePoint now) {
  const Task& task = ReadTask(ref);
  const StepSpec& spec = SpecOf(ref);
  return spec.long_running && !spec.best_effort && !spec.gang &&
         task.phase == SchedulingPhase::kRunning && !IsSuspect(task) &&
         !ref.iteration->job->ended_at &&
         // A new owner does not know when the runs that it finds began.
         now - task.started.value_or(state.claimed_at) >= kMinRunBeforeMove &&
         // While it moves, other work of its workspace could use up the cap.
         !IsCapped(state, ref) && MayBeUnavailable(state, ref);
}

bool FitsAny(const Resources& need, const std::vector<Resources>& pieces) {
  return std::any_of(
      pieces.begin(), pieces.end(),
      [&need](const Resources& piece) { return Fits(need, piece); });
}

// Only pieces that fit in no other one, so that few comparisons tell whether a
// task fits in any.
void AddPiece(std::vector<Resources>& pieces, const Resources& piece) {
  if (FitsAny(piece, pieces))
    return;
  std::erase_if(pieces, [&](const Resources& p) { return Fits(p, piece); });
  pieces.push_back(piece);
}

// Of overdue long-running tasks, up to that rank, without those that exceed
// another one.
std::vector<Resources> NeedsOfOverdueTasks(const State& state) {
  const auto overdue = static_cast<uint32_t>(ReadyRank::kOverdue);
  std::vector<Resources> needs;
  for (auto next = state.ready_steps.begin();
       next != state.ready_steps.end();) {
    if (next->rank > overdue) {
      next = state.ready_steps.lower_bound(
          ReadyKey{.priority = next->priority + 1});
      continue;
    }
    const ReadyKey& key = *next++;
    const StepSpec& spec = key.iteration->job->spec.steps[key.step];
    const auto is_smaller = [&spec](const Resources& need) {
      return Fits(need, spec.need);
    };
    if (!spec.long_running || spec.best_effort ||
        key.iteration->steps[key.step].ready_tasks.empty() ||
        std::any_of(needs.begin(), needs.end(), is_smaller))
      continue;
    std::erase_if(needs,
                  [&](const Resources& need) { return Fits(spec.need, need); });
    needs.push_back(spec.need);
  }
  return needs;
}

struct Target {
  int32_t worker = kNoWorker;
  Displacement displacement;
  Resources room;

  // The tightest one leaves large pieces whole.
  bool IsBetterThan(const Target& other) const {
    return std::tie(displacement.lost, room.cpu) <
           std::tie(other.displacement.lost, other.room.cpu);
  }
};

std::optional<Target> FindTarget(const State& state,
                                 const std::vector<MovableTasks>& workers,
                                 const TaskRef& moved,
                                 int32_t source,
                                 TimePoint now) {
  const Resources& need = SpecOf(moved).need;
  std::optional<Target> best;
  for (const MovableTasks& to : workers) {
    const int32_t index = to.worker;
    const WorkerState& worker = WorkerAt(state, index);
    const Resources& room = to.room;
    if (index == source || !to.may_take_moved || !Fits(need, room) ||
        IsOneTooMany(state, moved, index) ||
        !MayRunOn(state, worker, moved, now) ||
        FindBlockingReservation(state, worker, moved, now) != nullptr)
      continue;
    auto displacement = FindDisplacement(state, worker, moved, {}, now);
    if (!displacement)
      continue;
    const Target target{index, *std::move(displacement), room};
    if (!best || target.IsBetterThan(*best))
      best = target;
  }
  return best;
}

// A move that may make room, by what is known without looking for its target.
struct Option {
  const MovableTasks* from = nullptr;
  TaskRef moved;
};

bool MakesRoom(const State& state,
               const MovableTasks& from,
               const TaskRef& moved,
               const TaskRef& beneficiary) {
  const Resources& need = SpecOf(beneficiary).need;
  const Resources& freed = SpecOf(moved).need;
  return freed.cpu < need.cpu && Fits(need, from.room + freed) &&
         PolicyOf(state, *moved.iteration->job).priority >=
             PolicyOf(state, *beneficiary.iteration->job).priority;
}

bool MayTake(const State& state,
             int32_t worker,
             const TaskRef& beneficiary,
             TimePoint now) {
  return !IsOneTooMany(state, beneficiary, worker) &&
         MayRunOn(state, WorkerAt(state, worker), beneficiary, now);
}

std::vector<Option> FindOptions(const State& state,
                                const std::vector<MovableTasks>& movable,
                                const TaskRef& beneficiary,
                                TimePoint now) {
  std::vector<Option> options;
  for (const MovableTasks& from : movable) {
    const size_t before = options.size();
    for (const TaskRef& moved : from.tasks) {
      if (MakesRoom(state, from, moved, beneficiary))
        options.push_back({&from, moved});
    }
    if (options.size() > before &&
        !MayTake(state, from.worker, beneficiary, now))
      options.resize(before);
  }
  std::stable_sort(options.begin(), options.end(),
                   [](const Option& a, const Option& b) {
                     return SpecOf(a.moved).need.cpu < SpecOf(b.moved).need.cpu;
                   });
  return options;
}

void ReleaseTarget(State& state, const Relocation& relocation) {
  WorkerAt(state, relocation.target).held -= relocation.need;
}

void LogFailure(State& state, const Relocation& relocation) {
  const auto ref = FindTask(state, relocation.task);
  if (ref && !ref->iteration->job->ended_at)
    LogDecision(state, "relocation_failed", *ref,
                WorkerAt(state, relocation.target).info.id.value());
}

// Another place if the target was lost while the run stopped.
bool KeepTarget(State& state,
                Relocation& relocation,
                const TaskRef& ref,
                TimePoint now) {
  if (MayRunOn(state, WorkerAt(state, relocation.target), ref, now))
    return true;
  const auto target = FindTarget(state, FindMovableTasks(state, now), ref,
                                 relocation.source, now);
  if (!target)
    return false;
  ReleaseTarget(state, relocation);
  relocation.target = target->worker;
  WorkerAt(state, target->worker).held += relocation.need;
  Displace(state, target->displacement, ref);
  return true;
}

void StartAtTarget(State& state,
                   const Relocation& relocation,
                   const TaskRef& ref,
                   TimePoint now,
                   Plan& plan) {
  std::erase(StepOf(ref).ready_tasks, ref.index);
  PlanStart(state, ref, relocation.target, now, plan);
}

enum class Progress { kGoesOn, kMayStart, kFailed };

Progress CheckProgress(State& state,
                       Relocation& relocation,
                       const std::optional<TaskRef>& ref,
                       TimePoint now) {
  if (!ref || ref->iteration->job->ended_at)
    return Progress::kFailed;
  const Task& task = ReadTask(*ref);
  const bool is_ready = task.phase == SchedulingPhase::kReady;
  const bool is_stopping = task.phase == SchedulingPhase::kStopping &&
                           task.worker == relocation.source;
  if ((!is_ready && !is_stopping) || !KeepTarget(state, relocation, *ref, now))
    return Progress::kFailed;
  if (is_stopping)
    return now - relocation.since < kMaxWaitForSource ? Progress::kGoesOn
                                                      : Progress::kFailed;
  if (Fits(relocation.need, FreeCapacity(WorkerAt(state, relocation.target))) &&
      !IsHeldBack(state, *ref) && CheckCap(state, *ref) == CapVerdict::kAllowed)
    return Progress::kMayStart;
  return now - task.ready_since < kMaxWaitForTarget ? Progress::kGoesOn
                                                    : Progress::kFailed;
}

struct PossibleMove {
  Resources need;
  int32_t target = kNoWorker;
};

// The move of the largest task that leaves more room in one piece than there
// was at its target, among workers without changes so far.
std::optional<PossibleMove> FindLargestMove(
    const std::vector<MovableTasks>& workers,
    const MovableTasks& from,
    const std::map<int32_t, Resources>& changes) {
  std::optional<PossibleMove> largest;
  if (changes.contains(from.worker))
    return largest;
  for (const TaskRef& ref : from.tasks) {
    const Resources& need = SpecOf(ref).need;
    if (largest && need.cpu <= largest->need.cpu)
      continue;
    const auto target = std::find_if(
        workers.begin(), workers.end(), [&](const MovableTasks& to) {
          return to.worker != from.worker && to.may_take_moved &&
                 Fits(need, to.room) && (from.room + need).cpu > to.room.cpu &&
                 !changes.contains(to.worker);
        });
    if (target != workers.end())
      largest = PossibleMove{need, target->worker};
  }
  return largest;
}

}  // namespace

bool IsOneTooMany(const State& state, const TaskRef& ref, int32_t worker) {
  return SpecOf(ref).max_per_worker > 0 &&
         HasHoldOn(state, NameOfStep(ref), worker);
}

void HoldTarget(State& state,
                const TaskRef& ref,
                int32_t source,
                int32_t target,
                TimePoint now) {
  const Relocation relocation{.task = NameOf(ref),
                              .source = source,
                              .target = target,
                              .need = SpecOf(ref).need,
                              .since = now};
  state.relocations.pending.push_back(relocation);
  WorkerAt(state, target).held += relocation.need;
}

std::vector<MovableTasks> FindMovableTasks(const State& state, TimePoint now) {
  const std::vector<Resources> waiting = NeedsOfOverdueTasks(state);
  std::vector<Resources> pieces;
  std::vector<MovableTasks> movable;
  for (size_t i = 0; i < state.workers.size(); ++i) {
    const WorkerState& worker = state.workers[i];
    if (EligibilityOf(state, worker, now) != WorkerEligibility::kEligible)
      continue;
    const Resources room = RoomWithoutDisplaceable(worker);
    const bool may_take_moved =
        std::none_of(waiting.begin(), waiting.end(),
                     [&](const Resources& need) { return Fits(need, room); });
    if (may_take_moved)
      AddPiece(pieces, room);
    movable.push_back({static_cast<int32_t>(i), room, may_take_moved, {}});
  }
  for (MovableTasks& from : movable) {
    for (const TaskRef& ref : WorkerAt(state, from.worker).tasks) {
      if (FitsAny(SpecOf(ref).need, pieces) && IsMovable(state, ref, now))
        from.tasks.push_back(ref);
    }
  }
  return movable;
}

std::map<int32_t, Resources> ChangesByMoves(const State& state, TimePoint now) {
  std::map<int32_t, Resources> changes;
  const std::vector<MovableTasks> movable = FindMovableTasks(state, now);
  for (const MovableTasks& from : movable) {
    if (changes.size() >= 2 * kMaxRelocationsPerSecond)
      break;
    const auto move = FindLargestMove(movable, from, changes);
    if (!move)
      continue;
    changes[from.worker] += move->need;
    changes[move->target] -= move->need;
  }
  return changes;
}

size_t CountRoomByMoves(const State& state,
                        const std::vector<MovableTasks>& movable,
                        const TaskRef& beneficiary,
                        TimePoint now) {
  std::vector<int32_t> workers;
  for (const Option& option : FindOptions(state, movable, beneficiary, now))
    workers.push_back(option.from->worker);
  std::sort(workers.begin(), workers.end());
  return static_cast<size_t>(std::unique(workers.begin(), workers.end()) -
                             workers.begin());
}

std::optional<RoomByMove> FindRoomByMove(
    const State& state,
    const std::vector<MovableTasks>& movable,
    const TaskRef& beneficiary,
    TimePoint now) {
  std::optional<RoomByMove> cheapest;
  const auto cost = [](const RoomByMove& room) {
    return room.displacement.lost + room.displacement_at_target.lost;
  };
  for (const Option& option : FindOptions(state, movable, beneficiary, now)) {
    const int32_t worker = option.from->worker;
    auto displacement =
        FindDisplacement(state, WorkerAt(state, worker), beneficiary,
                         SpecOf(option.moved).need, now);
    if (!displacement)
      continue;
    auto target = FindTarget(state, movable, option.moved, worker, now);
    if (!target)
      continue;
    RoomByMove room{worker, *std::move(displacement), option.moved,
                    target->worker, std::move(target->displacement)};
    if (!cheapest || cost(room) < cost(*cheapest))
      cheapest = std::move(room);
    // Options are in order of what they move.
    if (cost(*cheapest) <= 0)
      return cheapest;
  }
  return cheapest;
}

bool MayRelocate(State& state, TimePoint now) {
  std::deque<TimePoint>& begun = state.relocations.begun;
  while (!begun.empty() && now - begun.front() >= seconds(1))
    begun.pop_front();
  return state.options.features.relocation &&
         begun.size() < kMaxRelocationsPerSecond &&
         state.relocations.pending.size() < kMaxPendingRelocations;
}

void BeginRelocation(State& state,
                     const RoomByMove& room,
                     const TaskRef& beneficiary,
                     TimePoint now) {
  const TaskRef& ref = room.moved;
  LogDecision(state, "run_relocated", ref,
              "to=" + WorkerAt(state, room.target).info.id.value() +
                  " for=" + ToString(NameOfStep(beneficiary)) + " displaced=" +
                  std::to_string(room.displacement_at_target.tasks.size()));
  ++state.counters.relocated_tasks;
  state.relocations.begun.push_back(now);
  HoldTarget(state, ref, room.worker, room.target, now);
  Displace(state, room.displacement_at_target, ref);
  StopTask(state, ref);
}

void PlaceRelocatedTasks(State& state, TimePoint now, Plan& plan) {
  // A start ends its relocation, so that the list changes.
  std::vector<Relocation> pending =
      std::exchange(state.relocations.pending, {});
  for (Relocation& relocation : pending) {
    const auto ref = FindTask(state, relocation.task);
    switch (CheckProgress(state, relocation, ref, now)) {
      case Progress::kGoesOn:
        state.relocations.pending.push_back(relocation);
        break;
      case Progress::kMayStart:
        state.relocations.pending.push_back(relocation);
        StartAtTarget(state, relocation, *ref, now, plan);
        break;
      case Progress::kFailed:
        LogFailure(state, relocation);
        ReleaseTarget(state, relocation);
        break;
    }
  }
}

bool IsTargetOfStep(const State& state, const StepName& step, int32_t worker) {
  const std::vector<Relocation>& pending = state.relocations.pending;
  return std::any_of(pending.begin(), pending.end(), [&](const Relocation& r) {
    return r.target == worker && r.task.job == step.job &&
           r.task.iteration == step.iteration && r.task.step == step.step;
  });
}

bool IsBeingLeft(const State& state, int32_t worker, TimePoint now) {
  const std::vector<Relocation>& pending = state.relocations.pending;
  return std::any_of(pending.begin(), pending.end(), [&](const Relocation& r) {
    return r.source == worker && now - r.since < kMaxWaitForSource;
  });
}

bool EndRelocationForStart(State& state, const TaskRef& ref) {
  std::vector<Relocation>& pending = state.relocations.pending;
  if (pending.empty())
    return false;
  const TaskName name = NameOf(ref);
  const auto found =
      std::find_if(pending.begin(), pending.end(),
                   [&name](const Relocation& r) { return r.task == name; });
  if (found == pending.end())
    return false;
  ReleaseTarget(state, *found);
  pending.erase(found);
  return true;
}

Resources HeldForRelocations(const State& state,
                             const WorkerState& worker,
                             const TaskRef& ref) {
  Resources held;
  for (const Relocation& relocation : state.relocations.pending) {
    if (&WorkerAt(state, relocation.target) == &worker &&
        relocation.task != NameOf(ref))
      held += relocation.need;
  }
  return held;
}

}  // namespace cowslipmast::sched
