#include "src/sched/job_parts.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "src/sched/assignment.h"
#include "src/sched/cell_load.h"
#include "src/sched/crash_suspects.h"
#include "src/sched/jobs.h"
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
// A task that has come from another cell waits here until the loads of the
// other cells have been read again. The longer it has waited in all, the less
// another move helps; still it must not miss capacity for 3 s.
constexpr Duration kMinStayOfMovedTask = milliseconds(500);
constexpr Duration kMaxStayOfMovedTask = milliseconds(2000);
constexpr int kStayShareOfWait = 4;
// Short and best-effort steps considered in one plan; bounds its duration while
// many wait. The next plan goes on with the others.
constexpr size_t kMaxShortStepsConsidered = 64;

// Tasks of a step that go to another cell.
struct TaskMove {
  ReadyKey key;
  CellId target;
  size_t tasks = 0;
};

CellId CoordinatorOf(const State& state, const Job& job) {
  if (IsCoordinator(job))
    return state.options.cell;
  return job.coordinator ? *job.coordinator : job.moved_to.value_or(CellId());
}

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

bool HasWaitedFor(const ReadyKey& key, Duration wait, TimePoint now) {
  const Task& oldest = OldestTask(key);
  const Duration waited = now - oldest.ready_since;
  const Duration stay = std::clamp(waited / kStayShareOfWait,
                                   kMinStayOfMovedTask, kMaxStayOfMovedTask);
  return waited >= wait && now - oldest.ready_here_since >= stay;
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

// Number of the step's tasks for which the cell has capacity; nothing if it is
// not known to have any, and all of them go there.
size_t CountTasksToMove(const ServiceLoad& load,
                        const WaitingWork& work,
                        size_t ready) {
  if (work.min_tasks > 1)
    return ready;
  const size_t fitting =
      work.kind == WorkKind::kOverdueBestEffort
          ? static_cast<size_t>(std::max<int64_t>(
                0, load.idle.count() /
                       std::max<int64_t>(1, work.task_need.cpu.count())))
          : CountFittingTasks(load, work);
  return fitting > 0 ? std::min(ready, fitting) : ready;
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

WaitingWork DescribeOverdueWork(const State& state,
                                const ReadyKey& key,
                                TimePoint now) {
  WaitingWork work = DescribeWork(state, key, now);
  work.kind = OverdueKindOf(SpecOf(key));
  const uint32_t came_from = OldestTask(key).came_from;
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
                                       const CellLoad& own,
                                       TimePoint now) {
  const WaitingWork work = DescribeOverdueWork(state, key, now);
  if (!HasWaitedFor(key, MinWait(key, own, work), now))
    return std::nullopt;
  auto target = CellOfOversizedStep(state, key);
  if (!target && IsHeldBackByCap(state, key))
    return std::nullopt;
  if (!target)
    target = ChooseCell(work, own, state.cell_loads);
  if (!target)
    return std::nullopt;
  size_t tasks = key.iteration->steps[key.step].ready_tasks.size();
  for (CellLoad& other : state.cell_loads) {
    ServiceLoad* load =
        other.cell == *target ? FindServiceLoad(other, work.service) : nullptr;
    if (load == nullptr)
      continue;
    tasks = CountTasksToMove(*load, work, tasks);
    TakeCapacity(*load, work, tasks);
  }
  return TaskMove{key, *target, tasks};
}

// Steps that may have to leave: all long-running ones, and some of the others.
std::vector<ReadyKey> StepsToConsider(State& state, TimePoint now) {
  std::vector<ReadyKey> steps;
  std::vector<ReadyKey> others;
  const auto next =
      state.next_step_to_move
          ? state.ready_steps.lower_bound(*state.next_step_to_move)
          : state.ready_steps.begin();
  const auto add = [&](const ReadyKey& key) {
    if (!MayMoveTasks(key) || !HasWaitedFor(key, kMinWaitWithoutWorker, now))
      return;
    (SpecOf(key).long_running ? steps : others).push_back(key);
  };
  std::for_each(next, state.ready_steps.end(), add);
  std::for_each(state.ready_steps.begin(), next, add);
  state.next_step_to_move.reset();
  if (others.size() > kMaxShortStepsConsidered) {
    state.next_step_to_move = others[kMaxShortStepsConsidered];
    others.resize(kMaxShortStepsConsidered);
  }
  steps.insert(steps.end(), others.begin(), others.end());
  return steps;
}

JobTransfer MakeTransfer(const State& state,
                         const Iteration& iteration,
                         std::vector<MovedTask> tasks,
                         Duration age) {
  const Job& job = *iteration.job;
  return {.job = job.spec,
          .from = state.options.cell,
          .hop = job.hop + 1,
          .tasks = std::move(tasks),
          .iteration = iteration.number,
          .age = age,
          .coordinator = CoordinatorOf(state, job)};
}

void SendTasks(State& state, CellId target, const JobTransfer& transfer) {
  // Each message has a key of its own: the store keeps the newest record of a
  // key, and an owner may move other tasks of the job later.
  const std::string part = std::to_string(state.options.epoch.value()) + "-" +
                           std::to_string(state.options.cell.value()) + "-" +
                           std::to_string(state.next_message_number++);
  state.messages.push_back({target,
                            TransferKey(transfer.job.id, part),
                            EncodeTransfer(transfer),
                            {}});
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
  // The other cell does not report starts.
  NoteStart(*iteration.job);
  AddPartCell(iteration, target);
  MarkDirty(state, iteration);
  state.counters.moved_tasks += moved.size();
  SendTasks(
      state, target,
      MakeTransfer(state, iteration, std::move(moved), now - iteration.due));
}

// A job of which this cell only runs the tasks that are moved here.
Job& AddPartialJob(State& state,
                   const JobTransfer& transfer,
                   TimePoint now,
                   WallTime wall) {
  Job& job = AddJobWithoutIterations(state, transfer.job, now, wall);
  job.is_part = true;
  job.may_have_started = true;
  NoteStart(job);
  return job;
}

void AddMovedTask(State& state,
                  Iteration& iteration,
                  const MovedTask& moved,
                  CellId from,
                  TimePoint now) {
  const TaskRef ref{&iteration, moved.step, moved.index};
  Task& task = TaskOf(ref);
  // In a replay it is known later whether the task is here; a higher run number
  // in the stored progress then counts.
  const bool is_away =
      !state.restored || task.phase == SchedulingPhase::kElsewhere;
  if (!is_away || task.run >= moved.run)
    return;
  task.run = moved.run;
  task.failures = moved.failures;
  task.checkpoint = moved.checkpoint;
  SetCrashes(state, ref, moved.crashes);
  task.other_cell = kThisCell;
  task.came_from = static_cast<uint32_t>(from.value());
  task.phase = SchedulingPhase::kBlocked;
  MarkDirty(state, iteration);
  // A replay makes its tasks ready at its end.
  if (!state.restored || iteration.job->ended_at)
    return;
  iteration.steps[moved.step].unblocked = true;
  MakeReady(state, ref, now, moved.waited);
}

void TellEndOfPart(State& state,
                   const Job& job,
                   const std::set<CellId>& cells,
                   std::optional<uint32_t> iteration) {
  for (const CellId cell : cells) {
    // These cells have the whole job, and learn from the next one how it ended.
    if (cell != CellOfJob(state.options.layout, job.spec.id) &&
        cell != CoordinatorOf(state, job))
      state.messages.push_back(
          {cell, PartEndKey(job.spec.id, iteration), "1", {}});
  }
}

// True if a task of the iteration may still be started, or run, in this cell.
bool HasOpenTasks(const Iteration& iteration) {
  const auto is_open = [](const Task& task) {
    return task.phase != SchedulingPhase::kDone &&
           task.phase != SchedulingPhase::kElsewhere;
  };
  return std::any_of(iteration.steps.begin(), iteration.steps.end(),
                     [&is_open](const StepState& step) {
                       return std::any_of(step.tasks.begin(), step.tasks.end(),
                                          is_open);
                     });
}

void CloseIteration(State& state, Job& job, uint32_t number, TimePoint now) {
  if (number >= IterationCount(job.spec) || IsDone(job, number))
    return;
  Iteration& iteration = GetOrCreateIteration(state, job, number, now);
  // Nothing may point at the tasks once they are freed.
  if (state.restored && HasOpenTasks(iteration))
    return;
  iteration.is_closed = true;
  NoteDone(job, number);
  PlanEndOfIterationParts(state, iteration);
  MarkDirty(state, iteration);
}

bool HasDoneTasks(const Iteration& iteration) {
  return std::any_of(
      iteration.steps.begin(), iteration.steps.end(), [](const StepState& s) {
        return std::any_of(s.tasks.begin(), s.tasks.end(), [](const Task& t) {
          return t.phase == SchedulingPhase::kDone;
        });
      });
}

void RepeatTaskTransfers(State& state, const Iteration& iteration) {
  std::map<CellId, std::vector<MovedTask>> moved;
  Iteration* own = iteration.job->iterations.at(iteration.number).get();
  for (uint32_t i = 0; i < iteration.steps.size(); ++i) {
    for (uint32_t k = 0; k < iteration.steps[i].tasks.size(); ++k) {
      const TaskRef ref{own, i, k};
      const Task& task = ReadTask(ref);
      if (task.phase == SchedulingPhase::kElsewhere &&
          task.other_cell != kThisCell)
        moved[CellId(task.other_cell)].push_back(
            DescribeTask(ref, Duration(0)));
    }
  }
  for (auto& [cell, tasks] : moved)
    SendTasks(state, cell,
              MakeTransfer(state, iteration, std::move(tasks), Duration(0)));
}

}  // namespace

bool IsCoordinator(const Job& job) {
  return !job.is_part && !job.moved_to;
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

void ApplyTaskTransfer(State& state,
                       const JobTransfer& transfer,
                       TimePoint now,
                       WallTime wall) {
  const auto found = state.jobs.find(transfer.job.id);
  Job& job = found == state.jobs.end()
                 ? AddPartialJob(state, transfer, now, wall)
                 : *found->second;
  // Earlier versions name no coordinator; a failure goes back the same way.
  const CellId coordinator = transfer.coordinator.value_or(transfer.from);
  if (coordinator != state.options.cell)
    job.coordinator = coordinator;
  if (transfer.iteration >= IterationCount(job.spec) ||
      IsDone(job, transfer.iteration))
    return;
  Iteration& iteration =
      GetOrCreateIteration(state, job, transfer.iteration, now - transfer.age);
  if (job.spec.iterations == 0)
    job.next_iteration = 1;
  for (const MovedTask& moved : transfer.tasks) {
    if (HasTask(iteration, moved.step, moved.index))
      AddMovedTask(state, iteration, moved, transfer.from, now);
  }
}

void PlanPartReport(State& state, Iteration& iteration) {
  const Job& job = *iteration.job;
  iteration.has_unreported_ends = false;
  if (IsCoordinator(job) || !job.coordinator || job.ended_at)
    return;
  PartReport report{.from = state.options.cell,
                    .iteration = iteration.number,
                    .done_tasks = {}};
  for (uint32_t i = 0; i < iteration.steps.size(); ++i) {
    const TaskList& tasks = iteration.steps[i].tasks;
    for (uint32_t k = 0; k < tasks.size(); ++k) {
      if (tasks[k].phase == SchedulingPhase::kDone)
        report.done_tasks.push_back({i, k});
    }
  }
  state.messages.push_back(
      {*job.coordinator,
       PartReportKey(job.spec.id, iteration.number, state.options.cell),
       EncodePartReport(report),
       {}});
}

void ApplyPartReport(State& state,
                     const JobId& id,
                     const PartReport& report,
                     TimePoint now) {
  const auto found = state.jobs.find(id);
  if (found == state.jobs.end() || found->second->ended_at ||
      !IsCoordinator(*found->second))
    return;
  const auto iteration = found->second->iterations.find(report.iteration);
  if (iteration == found->second->iterations.end())
    return;
  for (const TaskPosition& done : report.done_tasks) {
    const TaskRef ref{iteration->second.get(), done.step, done.index};
    if (!HasTask(*ref.iteration, done.step, done.index) ||
        ReadTask(ref).phase != SchedulingPhase::kElsewhere)
      continue;
    LogDecision(state, "run_done_elsewhere", ref,
                "in_cell=" + std::to_string(report.from.value()));
    FinishTask(state, ref, now);
  }
  state.needs_plan = true;
}

void PlanEndOfParts(State& state, const Job& job) {
  if (!job.is_cancelled)
    TellEndOfPart(state, job, job.part_cells, std::nullopt);
}

void PlanEndOfIterationParts(State& state, const Iteration& iteration) {
  TellEndOfPart(state, *iteration.job, iteration.part_cells, iteration.number);
}

void EndPart(State& state,
             const JobId& id,
             std::optional<uint32_t> iteration,
             TimePoint now) {
  const auto found = state.jobs.find(id);
  if (found == state.jobs.end()) {
    // A transfer that an earlier owner of the other cell has sent may still
    // arrive, and must not start anything.
    if (!iteration && state.deleted_jobs.try_emplace(id).second)
      state.deleted_submissions.emplace_back(now, id);
    return;
  }
  Job& job = *found->second;
  if (!job.is_part || job.ended_at)
    return;
  if (iteration) {
    CloseIteration(state, job, *iteration, now);
    return;
  }
  if (state.restored)
    EndJob(state, job, JobState::kCancelled, now);
  else
    job.state = JobState::kCancelled;
}

void RepeatPartMessages(State& state, const Job& job) {
  for (const auto& [number, iteration] : job.iterations) {
    if (IsDone(job, number))
      continue;
    RepeatTaskTransfers(state, *iteration);
    if (!IsCoordinator(job) && HasDoneTasks(*iteration))
      PlanPartReport(state, *iteration);
  }
}

}  // namespace cowslipmast::sched
