#include "src/sched/capacity_holds.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "src/sched/crash_suspects.h"
#include "src/sched/displacement.h"
#include "src/sched/health.h"
#include "src/sched/jobs.h"
#include "src/sched/order.h"
#include "src/sched/relocation.h"
#include "src/sched/step_name.h"
#include "src/sched/task_placement.h"
#include "src/sched/workers.h"
#include "src/sched/workspace_caps.h"

namespace cowslipmast::sched {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Of one step, for workers to hold capacity on.
constexpr Duration kSearchInterval = milliseconds(300);
// Capacity becomes free by itself all the time: a task that is overdue takes
// that first.
constexpr Duration kMinWaitToDisplace =
    kLongRunningOverdueAfter + milliseconds(200);
// A run takes half a second to stop; another worker may be better after this.
constexpr Duration kMaxHold = seconds(2);
constexpr size_t kMaxHolds = 64;
// Steps for one plan, each at the cost of a look at the workers.
constexpr size_t kMaxSearches = 4;

WorkerState& WorkerOf(State& state, const CapacityHold& hold) {
  return state.workers[static_cast<size_t>(hold.worker)];
}

const WorkerState& WorkerOf(const State& state, const CapacityHold& hold) {
  return state.workers[static_cast<size_t>(hold.worker)];
}

std::string DescribeHold(const State& state,
                         const CapacityHold& hold,
                         TimePoint now) {
  return WorkerOf(state, hold).info.id.value() +
         " ms=" + std::to_string((now - hold.since) / milliseconds(1));
}

// Of long-running tasks that are not being stopped.
MilliCores LongRunningCpuThatStays(const WorkerState& worker) {
  MilliCores cpu = worker.long_running_cpu;
  for (const TaskRef& ref : worker.tasks) {
    if (SpecOf(ref).long_running && !SpecOf(ref).best_effort &&
        ReadTask(ref).phase == SchedulingPhase::kStopping)
      cpu -= SpecOf(ref).need.cpu;
  }
  return cpu;
}

// Number of the step's tasks that have lost their workers for so long that
// capacity is held for them.
size_t CountOverdue(const State& state,
                    Iteration& iteration,
                    uint32_t index,
                    TimePoint now) {
  const StepState& step = std::as_const(iteration.steps[index]);
  const StepSpec& spec = iteration.job->spec.steps[index];
  return static_cast<size_t>(std::count_if(
      step.ready_tasks.begin(), step.ready_tasks.end(), [&](uint32_t task) {
        return IsLost(spec, step.tasks[task], now) &&
               !IsHeldBack(state, TaskRef{&iteration, index, task}) &&
               now - step.tasks[task].ready_since >= kMinWaitToDisplace;
      }));
}

// Why the hold ends before its task has started; null if it goes on. `kept` is
// the number of other holds of the step that go on.
const char* ReasonToEnd(const State& state,
                        const CapacityHold& hold,
                        const std::optional<TaskRef>& waiting,
                        size_t kept,
                        TimePoint now) {
  if (!waiting ||
      CountOverdue(state, *waiting->iteration, waiting->step, now) <= kept)
    return "task waits no more";
  const WorkerState& worker = WorkerOf(state, hold);
  if (!MayRunOn(state, worker, *waiting, now))
    return "worker lost";
  if (hold.need.cpu >
      worker.info.capacity.cpu - LongRunningCpuThatStays(worker))
    return "taken by others";
  const bool is_too_late =
      now - hold.since >= kMaxHold && !IsBeingLeft(state, hold.worker, now);
  return is_too_late ? "too late" : nullptr;
}

struct HoldCandidate {
  bool is_untrusted = false;
  Displacement displacement;
  int32_t worker = kNoWorker;

  bool operator<(const HoldCandidate& other) const {
    return std::tie(is_untrusted, displacement.lost, worker) <
           std::tie(other.is_untrusted, other.displacement.lost, other.worker);
  }
};

// Workers on which the task fits once other tasks are displaced, the best
// first.
std::vector<HoldCandidate> FindCandidates(const State& state,
                                          const TaskRef& ref,
                                          TimePoint now) {
  const StepSpec& spec = SpecOf(ref);
  const QueuePolicy& policy = PolicyOf(state, *ref.iteration->job);
  const bool last_attempt = IsLastAttempt(policy, spec, ReadTask(ref));
  std::vector<HoldCandidate> candidates;
  for (size_t i = 0; i < state.workers.size(); ++i) {
    const WorkerState& worker = state.workers[i];
    const auto index = static_cast<int32_t>(i);
    if (spec.need.cpu > worker.info.capacity.cpu - worker.long_running_cpu -
                            worker.held.cpu ||
        !Fits(spec.need,
              FreeCapacity(worker) - worker.held + worker.displaceable) ||
        !MayRunOn(state, worker, ref, now) ||
        (spec.max_per_worker > 0 && HasHoldOn(state, NameOfStep(ref), index)))
      continue;
    if (auto displacement = FindDisplacement(state, worker, ref, {}, now))
      candidates.push_back({.is_untrusted = !IsTrusted(worker, policy.priority,
                                                       last_attempt, now),
                            .displacement = *std::move(displacement),
                            .worker = index});
  }
  std::sort(candidates.begin(), candidates.end());
  return candidates;
}

// The task of the step for which the next hold is made: holds go to its tasks
// in order.
TaskRef NextToHoldFor(const State& state, const TaskRef& first) {
  const std::vector<uint32_t>& ready = StepOf(first).ready_tasks;
  const size_t held = CountHolds(state, NameOfStep(first));
  return {first.iteration, first.step,
          held < ready.size() ? ready[ready.size() - 1 - held] : first.index};
}

void AddHold(State& state,
             const TaskRef& first,
             const HoldCandidate& candidate,
             TimePoint now) {
  const TaskRef ref = NextToHoldFor(state, first);
  const CapacityHold hold{
      .step = NameOfStep(ref),
      .worker = candidate.worker,
      .need = SpecOf(ref).need,
      .priority = PolicyOf(state, *ref.iteration->job).priority,
      .waiting_since = ReadTask(ref).ready_since,
      .since = now};
  WorkerState& worker = WorkerOf(state, hold);
  worker.held += hold.need;
  ++state.counters.capacity_holds_made;
  LogDecision(
      state, "capacity_held", ref,
      worker.info.id.value() +
          " need=" + std::to_string(hold.need.cpu.count()) +
          " free=" + std::to_string(FreeCapacity(worker).cpu.count()) +
          " displaced=" + std::to_string(candidate.displacement.tasks.size()) +
          " waited_ms=" +
          std::to_string((now - ReadTask(ref).ready_since) / milliseconds(1)));
  state.capacity_holds.holds.push_back(hold);
  Displace(state, candidate.displacement, ref);
}

// Tasks that may move, found once for all searches of a plan until one moves.
using MovableCache = std::optional<std::vector<MovableTasks>>;

// Holds capacity for the task where the move of another one makes room. False
// if there is no such worker.
bool HoldByMove(State& state,
                const TaskRef& ref,
                MovableCache& movable,
                TimePoint now) {
  if (!MayRelocate(state, now))
    return false;
  if (!movable)
    movable = FindMovableTasks(state, now);
  auto room = FindRoomByMove(state, *movable, ref, now);
  if (!room)
    return false;
  BeginRelocation(state, *room, ref, now);
  AddHold(
      state, ref,
      {.displacement = std::move(room->displacement), .worker = room->worker},
      now);
  movable.reset();
  return true;
}

// Holds capacity for the step's overdue tasks, one on a worker. True if it
// looked at workers.
bool HoldForStep(State& state,
                 const ReadyKey& key,
                 MovableCache& movable,
                 TimePoint now) {
  const Job& job = *key.iteration->job;
  const StepSpec& spec = job.spec.steps[key.step];
  const std::vector<uint32_t>& ready =
      key.iteration->steps[key.step].ready_tasks;
  if (!spec.long_running || spec.best_effort || spec.gang || ready.empty() ||
      job.ended_at)
    return false;
  const TaskRef waiting{key.iteration, key.step, ready.back()};
  const StepName step = NameOfStep(key);
  if (state.capacity_holds.search_at.contains(step) ||
      IsHeldBack(state, waiting) || IsHeldBackByCap(state, key))
    return false;
  const size_t overdue = CountOverdue(state, *key.iteration, key.step, now);
  const size_t held = CountHolds(state, key);
  if (overdue <= held)
    return false;
  state.capacity_holds.search_at.emplace(step, now + kSearchInterval);
  size_t missing =
      std::min(overdue - held, kMaxHolds - state.capacity_holds.holds.size());
  for (const HoldCandidate& candidate : FindCandidates(state, waiting, now)) {
    if (missing == 0)
      break;
    AddHold(state, waiting, candidate, now);
    --missing;
  }
  while (missing > 0 && HoldByMove(state, waiting, movable, now))
    --missing;
  return true;
}

}  // namespace

void ReviewHolds(State& state, TimePoint now) {
  std::erase_if(state.capacity_holds.search_at,
                [now](const auto& entry) { return entry.second <= now; });
  std::map<StepName, size_t> kept;
  std::erase_if(state.capacity_holds.holds, [&](const CapacityHold& hold) {
    const auto waiting = FindWaitingTask(state, hold.step);
    const char* reason =
        ReasonToEnd(state, hold, waiting, kept[hold.step], now);
    if (reason == nullptr) {
      ++kept[hold.step];
      return false;
    }
    if (waiting)
      LogDecision(state, "capacity_released", *waiting,
                  DescribeHold(state, hold, now) + " " + reason);
    WorkerOf(state, hold).held -= hold.need;
    state.capacity_holds.search_at.erase(hold.step);
    return true;
  });
}

void HoldForOverdueTasks(State& state, TimePoint now) {
  const auto lost = static_cast<uint32_t>(ReadyRank::kLost);
  size_t searches = 0;
  MovableCache movable;
  for (auto next = state.ready_steps.begin();
       next != state.ready_steps.end() && searches < kMaxSearches &&
       state.capacity_holds.holds.size() < kMaxHolds;) {
    if (next->rank != lost) {
      next = state.ready_steps.lower_bound(
          ReadyKey{.priority = next->priority + 1});
      continue;
    }
    searches += HoldForStep(state, *next, movable, now) ? 1 : 0;
    ++next;
  }
}

std::vector<StepName> FindStepsWithFreeHold(const State& state) {
  std::vector<StepName> steps;
  for (const CapacityHold& hold : state.capacity_holds.holds) {
    if (Fits(hold.need, FreeCapacity(WorkerOf(state, hold))) &&
        std::find(steps.begin(), steps.end(), hold.step) == steps.end())
      steps.push_back(hold.step);
  }
  return steps;
}

bool FitsOnHeldCapacity(const State& state, const TaskRef& ref, TimePoint now) {
  const std::vector<CapacityHold>& holds = state.capacity_holds.holds;
  return std::any_of(holds.begin(), holds.end(), [&](const CapacityHold& hold) {
    const WorkerState& worker = WorkerOf(state, hold);
    return Fits(hold.need, FreeCapacity(worker)) &&
           Fits(SpecOf(ref).need, FreeCapacityFor(state, worker, ref, now));
  });
}

bool HasHoldOn(const State& state, const StepName& step, int32_t worker) {
  return IsTargetOfStep(state, step, worker) ||
         std::any_of(state.capacity_holds.holds.begin(),
                     state.capacity_holds.holds.end(),
                     [&](const CapacityHold& hold) {
                       return hold.step == step && hold.worker == worker;
                     });
}

size_t CountHolds(const State& state, const ReadyKey& key) {
  // Most plans look at thousands of steps while nothing is held.
  return state.capacity_holds.holds.empty()
             ? 0
             : CountHolds(state, NameOfStep(key));
}

size_t CountHolds(const State& state, const StepName& step) {
  return static_cast<size_t>(std::count_if(
      state.capacity_holds.holds.begin(), state.capacity_holds.holds.end(),
      [&step](const CapacityHold& hold) { return hold.step == step; }));
}

Resources FreeCapacityFor(const State& state,
                          const WorkerState& worker,
                          const TaskRef& ref,
                          TimePoint now) {
  const Resources free = FreeCapacity(worker);
  if (worker.held == Resources{})
    return free;
  const Task& task = ReadTask(ref);
  const bool is_lost = IsLost(SpecOf(ref), task, now);
  const uint32_t priority = PolicyOf(state, *ref.iteration->job).priority;
  const StepName step = NameOfStep(ref);
  const auto keeps_off = [&](const CapacityHold& hold) {
    if (hold.priority != priority)
      return hold.priority < priority;
    return hold.step != step &&
           (!is_lost || hold.waiting_since < task.ready_since);
  };
  Resources kept = HeldForRelocations(state, worker, ref);
  for (const CapacityHold& hold : state.capacity_holds.holds) {
    if (&WorkerOf(state, hold) == &worker && keeps_off(hold))
      kept += hold.need;
  }
  // What is held and not free yet does not keep off a task that needs none of
  // that resource.
  const Resources left = free - kept;
  return {.cpu = std::max(left.cpu, std::min(free.cpu, MilliCores(0))),
          .memory = std::max(left.memory, std::min(free.memory, Mebibytes(0))),
          .accelerators = std::max(
              left.accelerators, std::min(free.accelerators, Accelerators(0)))};
}

void EndHoldForStart(State& state, const TaskRef& ref, int32_t worker) {
  std::vector<CapacityHold>& holds = state.capacity_holds.holds;
  if (holds.empty())
    return;
  const StepName step = NameOfStep(ref);
  auto found = std::find_if(holds.begin(), holds.end(), [&](const auto& hold) {
    return hold.step == step && hold.worker == worker;
  });
  if (found == holds.end())
    found = std::find_if(holds.begin(), holds.end(),
                         [&](const auto& hold) { return hold.step == step; });
  if (found == holds.end())
    return;
  ++state.counters.capacity_holds_used;
  WorkerOf(state, *found).held -= found->need;
  holds.erase(found);
}

}  // namespace cowslipmast::sched
