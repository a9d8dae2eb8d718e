#include "src/sched/task_transfers.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "src/sched/capacity_holds.h"
#include "src/sched/cell_load.h"
#include "src/sched/crash_suspects.h"
#include "src/sched/job_parts.h"
#include "src/sched/jobs.h"
#include "src/sched/order.h"
#include "src/sched/work_to_move.h"
#include "src/sched/workspace_caps.h"

namespace cowslipmast::sched {

namespace {

using std::chrono::milliseconds;

// A task must have a worker after 3 s. A long-running one is overdue in its
// cell after 1.5 s, and may then use the capacity that is kept for short work;
// a move takes 0.1 s.
constexpr Duration kMinWaitToMoveTask = milliseconds(1700);
// Where no worker could ever run it. A new owner has heard of its workers by
// then.
constexpr Duration kMinWaitWithoutWorker = milliseconds(500);
// By then the cell has held capacity for the task if any could be displaced.
constexpr Duration kMinWaitToReclaim = milliseconds(1900);
// A task waits here until the loads of the other cells have been read again.
// The longer it has waited in all, the less another move helps; still it must
// not miss capacity for 3 s.
constexpr Duration kMinStay = milliseconds(500);
constexpr Duration kMaxStay = milliseconds(2000);
constexpr int kStayShareOfWait = 4;
// Where no cell has room a lost task waits for as long as a cell takes to see
// room that came free elsewhere, and then goes where it is served sooner.
constexpr Duration kMinStayBeforeRebalance = milliseconds(1000);
// Before a lost task goes back to where room must be reclaimed for it.
constexpr Duration kMinStayBeforeReturn = milliseconds(4000);
// From a move until a load that shows the task in its new cell is here.
constexpr Duration kMaxAgeOfRecentMove = milliseconds(800);
// Short and best-effort steps considered in one plan; bounds its duration while
// many wait. The next plan goes on with the others.
constexpr size_t kMaxShortStepsConsidered = 64;

// Tasks of a step that go to another cell.
struct TaskMove {
  ReadyKey key;
  CellId target;
  size_t tasks = 0;
};

const StepSpec& SpecOf(const ReadyKey& key) {
  return key.iteration->job->spec.steps[key.step];
}

const Task& OldestTask(const ReadyKey& key) {
  const StepState& step = key.iteration->steps[key.step];
  return step.tasks[step.ready_tasks.back()];
}

bool IsWholeStepReady(const StepState& step) {
  return std::all_of(
      step.tasks.begin(), step.tasks.end(),
      [](const Task& task) { return task.phase == SchedulingPhase::kReady; });
}

WorkKind OverdueKindOf(const StepSpec& spec) {
  if (spec.long_running)
    return WorkKind::kOverdueLongRunning;
  return spec.best_effort ? WorkKind::kOverdueBestEffort
                          : WorkKind::kOverdueShort;
}

// True if tasks of the step may leave once they have waited for long enough.
bool MayMoveTasks(const ReadyKey& key) {
  const Job& job = *key.iteration->job;
  const StepState& step = key.iteration->steps[key.step];
  return !step.ready_tasks.empty() && !job.ended_at &&
         IsSmallEnoughToMove(job) &&
         (!SpecOf(key).gang || IsWholeStepReady(step));
}

// Time for which the task has waited and was known to. No cell could have moved
// it while a lease of its lost worker lasted.
Duration KnownWait(const State& state, const Task& task, TimePoint now) {
  const Duration waited = now - task.ready_since;
  return task.has_run ? std::max(now - task.ready_here_since,
                                 waited - state.options.lease)
                      : waited;
}

bool HasWaitedFor(const State& state,
                  const ReadyKey& key,
                  Duration wait,
                  TimePoint now) {
  const Task& oldest = OldestTask(key);
  const Duration stay = std::clamp(
      KnownWait(state, oldest, now) / kStayShareOfWait, kMinStay, kMaxStay);
  return now - oldest.ready_since >= wait &&
         now - oldest.ready_here_since >= stay;
}

// A long-running task soon gets capacity that is kept for short work.
Duration MinWait(const ReadyKey& key,
                 const CellLoad& own,
                 const WaitingWork& work) {
  const ServiceLoad* load = FindServiceLoad(own, work.service);
  const bool could_run = load != nullptr && CouldRun(*load, work);
  return could_run || SpecOf(key).long_running ? kMinWaitToMoveTask
                                               : kMinWaitWithoutWorker;
}

// Number of the step's tasks for which the cell has capacity. Where it is not
// known to have any, a lost task goes alone, to wait there for a shorter time;
// tasks that cannot run here go all.
size_t CountTasksToMove(const ServiceLoad& load,
                        const WaitingWork& work,
                        bool could_run_here,
                        size_t ready) {
  if (work.min_tasks > 1)
    return ready;
  const size_t fitting =
      work.kind == WorkKind::kOverdueBestEffort
          ? static_cast<size_t>(std::max<int64_t>(
                0, load.idle.count() /
                       std::max<int64_t>(1, work.task_need.cpu.count())))
          : CountFittingTasks(load, work);
  if (fitting > 0)
    return std::min(ready, fitting);
  const size_t reclaimable =
      work.may_reclaim ? CountReclaimableTasks(load, work) : 0;
  if (reclaimable > 0)
    return std::min(ready, reclaimable);
  return could_run_here && work.may_rebalance ? std::min<size_t>(ready, 1)
                                              : ready;
}

void AddToLoads(State& state, const RecentMove& move) {
  for (CellLoad& load : state.cell_loads) {
    ServiceLoad* service = load.cell == move.target
                               ? FindServiceLoad(load, move.service)
                               : nullptr;
    if (service != nullptr)
      AddLostTask(*service, move.task);
  }
}

// Takes the capacity for tasks that move out of the loads, so that the next
// decision does not count on it.
void TakeCapacity(ServiceLoad& load, const WaitingWork& work, size_t tasks) {
  const MilliCores need(work.task_need.cpu.count() *
                        static_cast<int64_t>(tasks));
  if (work.kind == WorkKind::kOverdueBestEffort) {
    load.idle -= need;
    load.waiting_best_effort += need;
    return;
  }
  TakePieces(load, work, tasks);
  if (work.kind == WorkKind::kOverdueShort)
    load.waiting += need;
}

// Counts lost tasks that move among those of their new cell: in this plan, and
// until the loads of that cell show them.
void CountMove(State& state,
               const WaitingWork& work,
               CellId target,
               size_t tasks,
               CellLoad& own,
               TimePoint now) {
  if (!work.without_run)
    return;
  const LostTask moved{
      .need = work.task_need, .waited = *work.without_run, .label = work.label};
  ServiceLoad* from = FindServiceLoad(own, work.service);
  for (size_t i = 0; i < tasks; ++i) {
    if (from != nullptr)
      TakeLostTask(*from, moved.waited);
    state.recent_moves.push_back({target, work.service, moved, now});
    AddToLoads(state, state.recent_moves.back());
  }
}

WaitingWork DescribeOverdueWork(const State& state,
                                const ReadyKey& key,
                                TimePoint now) {
  WaitingWork work = DescribeWork(state, key, now);
  work.kind = OverdueKindOf(SpecOf(key));
  const Task& oldest = OldestTask(key);
  const Duration waited = now - oldest.ready_since;
  const bool is_lost = SpecOf(key).long_running && !SpecOf(key).best_effort &&
                       !SpecOf(key).gang && oldest.has_run;
  if (is_lost)
    work.without_run = waited;
  work.load_age = now - state.cell_loads_at;
  work.may_reclaim = is_lost && waited >= kMinWaitToReclaim;
  work.may_rebalance = work.may_reclaim &&
                       now - oldest.ready_here_since >= kMinStayBeforeRebalance;
  work.has_just_moved = is_lost && oldest.has_just_moved &&
                        now - oldest.ready_here_since < kMinStayBeforeReturn;
  const uint32_t came_from = oldest.came_from;
  if (came_from != kThisCell)
    work.came_from = CellId(came_from);
  for (const Task& task : key.iteration->steps[key.step].tasks) {
    if (work.max_per_worker > 0 && task.phase == SchedulingPhase::kElsewhere &&
        task.other_cell != kThisCell)
      ++work.moved_tasks[CellId(task.other_cell)];
  }
  return work;
}

// Moves no more tasks than the other cell has capacity for, unless no worker of
// this cell could ever run them.
std::optional<TaskMove> ChooseTaskMove(State& state,
                                       const ReadyKey& key,
                                       CellLoad& own,
                                       TimePoint now) {
  const WaitingWork work = DescribeOverdueWork(state, key, now);
  const size_t held = CountHolds(state, key);
  if (!HasWaitedFor(state, key, MinWait(key, own, work), now) ||
      held >= key.iteration->steps[key.step].ready_tasks.size())
    return std::nullopt;
  auto target = CellOfOversizedStep(state, key);
  if (!target && IsHeldBackByCap(state, key))
    return std::nullopt;
  if (!target)
    target = ChooseCell(work, own, state.cell_loads);
  if (!target)
    return std::nullopt;
  // The others will have a worker here.
  size_t tasks = key.iteration->steps[key.step].ready_tasks.size() - held;
  for (CellLoad& other : state.cell_loads) {
    ServiceLoad* load =
        other.cell == *target ? FindServiceLoad(other, work.service) : nullptr;
    if (load == nullptr)
      continue;
    const ServiceLoad* own_load = FindServiceLoad(own, work.service);
    const bool could_run_here =
        own_load != nullptr && CouldRun(*own_load, work);
    tasks = CountTasksToMove(*load, work, could_run_here, tasks);
    TakeCapacity(*load, work, tasks);
  }
  CountMove(state, work, *target, tasks, own, now);
  return TaskMove{key, *target, tasks};
}

// Steps that may have to leave: all long-running ones, in order, and some of
// the others.
std::vector<ReadyKey> StepsToConsider(State& state, TimePoint now) {
  std::vector<ReadyKey> steps;
  std::vector<ReadyKey> others;
  const auto next =
      state.next_step_to_move
          ? state.ready_steps.lower_bound(*state.next_step_to_move)
          : state.ready_steps.begin();
  const auto is_due = [&](const ReadyKey& key) {
    return MayMoveTasks(key) &&
           HasWaitedFor(state, key, kMinWaitWithoutWorker, now);
  };
  for (const ReadyKey& key : state.ready_steps) {
    if (SpecOf(key).long_running && is_due(key))
      steps.push_back(key);
  }
  const auto add_other = [&](const ReadyKey& key) {
    if (!SpecOf(key).long_running && is_due(key))
      others.push_back(key);
  };
  std::for_each(next, state.ready_steps.end(), add_other);
  std::for_each(state.ready_steps.begin(), next, add_other);
  state.next_step_to_move.reset();
  if (others.size() > kMaxShortStepsConsidered) {
    state.next_step_to_move = others[kMaxShortStepsConsidered];
    others.resize(kMaxShortStepsConsidered);
  }
  steps.insert(steps.end(), others.begin(), others.end());
  return steps;
}

void AddPartCell(Iteration& iteration, CellId cell) {
  iteration.part_cells.insert(cell);
  iteration.job->part_cells.insert(cell);
}

MovedTask MoveTask(State& state,
                   const TaskRef& ref,
                   CellId target,
                   TimePoint now) {
  LogDecision(state, "run_moved", ref,
              "to_cell=" + std::to_string(target.value()));
  Task& task = TaskOf(ref);
  // A higher number than any that this cell has used: a transfer that arrives
  // late is told from a newer one.
  task.run = task.run.Next();
  task.phase = SchedulingPhase::kElsewhere;
  task.other_cell = static_cast<uint32_t>(target.value());
  return DescribeTask(ref, now - task.ready_since);
}

// Moves the tasks of the step that have waited longest, `count` at most.
void MoveTasks(State& state,
               const ReadyKey& key,
               CellId target,
               size_t count,
               TimePoint now) {
  Iteration& iteration = *key.iteration;
  StepState& step = iteration.steps[key.step];
  std::vector<MovedTask> moved;
  std::vector<uint32_t> kept;
  for (; !step.ready_tasks.empty() && moved.size() < count;
       step.ready_tasks.pop_back()) {
    const TaskRef ref{&iteration, key.step, step.ready_tasks.back()};
    // The other cell would start it at once.
    if (IsHeldBack(state, ref))
      kept.push_back(ref.index);
    else if (TaskOf(ref).phase == SchedulingPhase::kReady)
      moved.push_back(MoveTask(state, ref, target, now));
  }
  step.ready_tasks.insert(step.ready_tasks.end(), kept.rbegin(), kept.rend());
  // A transfer without tasks would be one of the whole job.
  if (moved.empty())
    return;
  // The rest of the job must not move as a whole any more.
  iteration.job->may_have_started = true;
  // The other cell does not report starts, and never the end of a long-running
  // task. A job with short ones counts as waiting until the first is done.
  if (SpecOf(key).long_running)
    NoteStart(*iteration.job);
  AddPartCell(iteration, target);
  MarkDirty(state, iteration);
  state.counters.moved_tasks += moved.size();
  SendTasks(state, iteration, target, std::move(moved), now - iteration.due);
}

}  // namespace

void CountRecentMoves(State& state, TimePoint now) {
  std::deque<RecentMove>& moves = state.recent_moves;
  while (!moves.empty() && now - moves.front().at > kMaxAgeOfRecentMove)
    moves.pop_front();
  for (const RecentMove& move : moves)
    AddToLoads(state, move);
}

void PlanTaskTransfers(State& state, TimePoint now) {
  if (!HasFreshLoads(state, now))
    return;
  std::vector<TaskMove> moves;
  std::optional<CellLoad> own;
  for (const ReadyKey& key : StepsToConsider(state, now)) {
    if (!own)
      own = MeasureLoad(state, now);
    if (const auto move = ChooseTaskMove(state, key, *own, now))
      moves.push_back(*move);
  }
  for (const TaskMove& move : moves) {
    MoveTasks(state, move.key, move.target, move.tasks, now);
    if (move.key.iteration->steps[move.key.step].ready_tasks.empty())
      state.ready_steps.erase(move.key);
  }
}

}  // namespace cowslipmast::sched
