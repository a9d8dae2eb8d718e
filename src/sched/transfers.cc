#include "src/sched/transfers.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cowslipmast/sched/job_codec.h"
#include "src/sched/assignment.h"
#include "src/sched/cell_load.h"
#include "src/sched/choose_cell.h"
#include "src/sched/crash_suspects.h"
#include "src/sched/jobs.h"
#include "src/sched/order.h"
#include "src/sched/task_placement.h"
#include "src/sched/workspace_caps.h"

namespace cowslipmast::sched {

namespace {

using std::chrono::milliseconds;

// Older loads say little about where there is capacity now.
constexpr Duration kMaxLoadAge = std::chrono::seconds(3);
// A job that has moved this often stays where it is.
constexpr uint32_t kMaxHops = 8;
// Steps considered in one plan; bounds its duration while many wait.
constexpr size_t kMaxStepsConsidered = 200;
// A long-running task must have a worker after 3 s. It is overdue in its cell
// after 1.5 s, and may then use the capacity that is kept for short work; a
// move takes 0.1 s.
constexpr Duration kMinWaitToMoveTask = milliseconds(1700);
// A task that has come from another cell waits here until the loads of the
// other cells have been read again. The longer it has waited in all, the less
// another move helps; still it must not miss capacity for 3 s.
constexpr Duration kMinStayOfMovedTask = milliseconds(500);
constexpr Duration kMaxStayOfMovedTask = milliseconds(2000);
constexpr int kStayShareOfWait = 4;

bool HasFreshLoads(const State& state, TimePoint now) {
  return !state.cell_loads.empty() && now - state.cell_loads_at < kMaxLoadAge;
}

MilliCores WaitingNeed(const ReadyKey& key) {
  return MilliCores(
      key.iteration->job->spec.steps[key.step].need.cpu.count() *
      static_cast<int64_t>(key.iteration->steps[key.step].ready_tasks.size()));
}

WorkKind KindOf(const StepSpec& spec) {
  if (spec.best_effort)
    return WorkKind::kBestEffort;
  return spec.long_running ? WorkKind::kLongRunning : WorkKind::kShort;
}

// Counts work that moves in the loads, so that the next decision sees it.
void ShiftLoad(State& state,
               CellLoad& own,
               const WaitingWork& work,
               CellId target) {
  const auto shift = [&work](ServiceLoad* load, MilliCores need) {
    if (load == nullptr)
      return;
    switch (work.kind) {
      case WorkKind::kOverdueLongRunning:  // see `TakePieces`
        return;
      case WorkKind::kLongRunning:
        load->waiting_long_running += need;
        return;
      case WorkKind::kShort:
        load->waiting += need;
        return;
      case WorkKind::kBestEffort:
        load->waiting_best_effort += need;
        load->idle -= need;
        return;
    }
  };
  shift(FindServiceLoad(own, work.service), MilliCores(-work.need.count()));
  for (CellLoad& other : state.cell_loads) {
    if (other.cell == target)
      shift(FindServiceLoad(other, work.service), work.need);
  }
}

Duration WaitedFor(const ReadyKey& key, TimePoint now) {
  const StepState& step = key.iteration->steps[key.step];
  return now - step.tasks[step.ready_tasks.back()].ready_here_since;
}

// Differs after each move, so that work which a cell could not place does not
// choose that cell again and again.
uint64_t RandomOf(const ReadyKey& key) {
  const Job& job = *key.iteration->job;
  const StepState& step = key.iteration->steps[key.step];
  const RunNumber run = step.tasks[step.ready_tasks.back()].run;
  return std::hash<std::string>{}(job.spec.id.value() + "." +
                                  std::to_string(job.hop) + "." +
                                  std::to_string(run.value()));
}

WaitingWork DescribeWork(const State& state,
                         const ReadyKey& key,
                         TimePoint now) {
  const StepSpec& spec = key.iteration->job->spec.steps[key.step];
  return {.service = PolicyOf(state, *key.iteration->job).service,
          .kind = KindOf(spec),
          .need = WaitingNeed(key),
          .task_need = spec.need,
          .max_per_worker = spec.max_per_worker,
          .label = spec.label,
          .waited = WaitedFor(key, now),
          .hop = key.iteration->job->hop,
          .random = RandomOf(key)};
}

// Tasks of a step that go to another cell.
struct TaskMove {
  ReadyKey key;
  CellId target;
  size_t tasks = 0;
};

bool IsSmallEnoughToMove(const Job& job) {
  return job.encoded_bytes <= kMaxMovedJobBytes;
}

bool MayMoveTasks(const ReadyKey& key, TimePoint now) {
  const Job& job = *key.iteration->job;
  const StepSpec& spec = job.spec.steps[key.step];
  const StepState& step = key.iteration->steps[key.step];
  if (!spec.long_running || spec.gang || job.spec.iterations > 0 ||
      step.ready_tasks.empty() || !IsSmallEnoughToMove(job))
    return false;
  const Task& oldest = step.tasks[step.ready_tasks.back()];
  const Duration waited = now - oldest.ready_since;
  const Duration stay = std::clamp(waited / kStayShareOfWait,
                                   kMinStayOfMovedTask, kMaxStayOfMovedTask);
  return waited >= kMinWaitToMoveTask && now - oldest.ready_here_since >= stay;
}

// Moves no more tasks than the other cell has pieces of capacity for, unless no
// worker of this cell could ever run them. Takes these pieces out of the loads,
// so that the next decision does not count on them.
std::optional<TaskMove> ChooseTaskMove(State& state,
                                       const ReadyKey& key,
                                       const CellLoad& own,
                                       TimePoint now) {
  WaitingWork work = DescribeWork(state, key, now);
  work.kind = WorkKind::kOverdueLongRunning;
  const StepState& step = key.iteration->steps[key.step];
  const uint32_t came_from = step.tasks[step.ready_tasks.back()].came_from;
  if (came_from != kThisCell)
    work.came_from = CellId(came_from);
  for (const Task& task : step.tasks) {
    if (work.max_per_worker > 0 && task.phase == SchedulingPhase::kElsewhere &&
        task.other_cell != kThisCell)
      ++work.moved_tasks[CellId(task.other_cell)];
  }
  const auto target = ChooseCell(work, own, state.cell_loads);
  if (!target)
    return std::nullopt;
  size_t tasks = step.ready_tasks.size();
  for (CellLoad& other : state.cell_loads) {
    ServiceLoad* load =
        other.cell == *target ? FindServiceLoad(other, work.service) : nullptr;
    if (load == nullptr)
      continue;
    const size_t fitting = CountFittingTasks(*load, work);
    tasks = fitting > 0 ? std::min(tasks, fitting) : tasks;
    TakePieces(*load, work, tasks);
  }
  return TaskMove{key, *target, tasks};
}

// The cell with the rack of the step's data, if that is another one.
std::optional<CellId> CellOfData(const State& state, const ReadyKey& key) {
  const StepSpec& spec = key.iteration->job->spec.steps[key.step];
  if (spec.data_rack.empty() || key.iteration->job->hop > 0)
    return std::nullopt;
  const CellId cell = CellOfRack(state.options.layout, spec.data_rack);
  return cell == state.options.cell ? std::nullopt : std::optional(cell);
}

bool MayMove(const Job& job) {
  return !job.may_have_started && job.placed_tasks == 0 && !job.ended_at &&
         !job.moved_to && job.spec.iterations == 0 && job.hop < kMaxHops &&
         !job.is_part && IsSmallEnoughToMove(job);
}

bool HasLongRunningStep(const Job& job) {
  return std::any_of(job.spec.steps.begin(), job.spec.steps.end(),
                     [](const StepSpec& spec) { return spec.long_running; });
}

bool HasTasksElsewhere(const Job& job) {
  for (const auto& [number, iteration] : job.iterations) {
    for (const StepState& step : iteration->steps) {
      for (const Task& task : step.tasks) {
        if (task.phase == SchedulingPhase::kElsewhere)
          return true;
      }
    }
  }
  return false;
}

// True if the job has started, and nothing of it runs or may still run, so that
// it can go on in another cell. Its long-running tasks move alone.
bool MayGoOnElsewhere(const State& state, const ReadyKey& key, TimePoint now) {
  const Job& job = *key.iteration->job;
  const StepState& step = key.iteration->steps[key.step];
  if (!job.may_have_started || job.placed_tasks > 0 || job.ended_at ||
      job.moved_to || job.spec.iterations > 0 || job.hop >= kMaxHops ||
      job.is_part || !IsSmallEnoughToMove(job) ||
      WaitedFor(key, now) < kMinWaitToMoveTask)
    return false;
  return !HasLongRunningStep(job) && !HasTasksElsewhere(job) &&
         std::none_of(step.ready_tasks.begin(), step.ready_tasks.end(),
                      [&](uint32_t index) {
                        return IsHeldBack(
                            state, TaskRef{key.iteration, key.step, index});
                      });
}

// True if the cell has a worker that may get the work once it has capacity.
bool HasWorkerFor(const CellLoad& load, const WaitingWork& work) {
  const ServiceLoad* service = FindServiceLoad(load, work.service);
  return service != nullptr && service->workers > 0 &&
         (work.label.empty() ||
          std::find(service->labels.begin(), service->labels.end(),
                    work.label) != service->labels.end());
}

MovedTask DescribeTask(const TaskRef& ref, Duration waited) {
  const Task& task = TaskOf(ref);
  return {.step = ref.step,
          .index = ref.index,
          .run = task.run,
          .failures = task.failures,
          .checkpoint = task.checkpoint,
          .waited = waited,
          .crashes = task.crashes};
}

// Adds how far a job has come that goes on in another cell.
void AddTaskStates(const Job& job, JobTransfer& transfer) {
  transfer.done_tasks.emplace();
  for (const auto& [number, iteration] : job.iterations) {
    for (uint32_t i = 0; i < iteration->steps.size(); ++i) {
      for (uint32_t k = 0; k < iteration->steps[i].tasks.size(); ++k) {
        const TaskRef ref{iteration.get(), i, k};
        if (TaskOf(ref).phase == SchedulingPhase::kDone)
          transfer.done_tasks->push_back({i, k});
        else
          transfer.tasks.push_back(DescribeTask(ref, Duration(0)));
      }
    }
  }
}

// A task to name in the decision log for a whole job.
std::optional<TaskRef> FirstTaskOf(const Job& job) {
  for (const auto& [number, iteration] : job.iterations) {
    for (uint32_t i = 0; i < iteration->steps.size(); ++i) {
      if (!iteration->steps[i].tasks.empty())
        return TaskRef{iteration.get(), i, 0};
    }
  }
  return std::nullopt;
}

void SendTransfer(State& state, const Job& job, Duration waited) {
  JobTransfer transfer{.job = job.spec,
                       .from = state.options.cell,
                       .hop = job.hop + 1,
                       .waited = waited,
                       .tasks = {}};
  // Long-running tasks that came back alone say nothing of how far the job had
  // come when it moved.
  if (job.may_have_started && !HasLongRunningStep(job))
    AddTaskStates(job, transfer);
  state.messages.push_back(
      {*job.moved_to,
       TransferKey(job.spec.id, "h" + std::to_string(transfer.hop)),
       EncodeTransfer(transfer),
       {}});
}

// Best-effort tasks of a job that has moved here go on waiting.
void AddEarlierWait(Job& job, Duration waited) {
  for (auto& [number, iteration] : job.iterations) {
    for (size_t i = 0; i < iteration->steps.size(); ++i) {
      if (!job.spec.steps[i].best_effort)
        continue;
      for (Task& task : iteration->steps[i].tasks)
        task.ready_since -= waited;
    }
  }
}

void MoveJob(State& state, Job& job, CellId target, TimePoint now) {
  Duration waited(0);
  job.moved_to = target;
  for (auto& [number, iteration] : job.iterations) {
    for (StepState& step : iteration->steps) {
      if (!step.ready_tasks.empty())
        waited = std::max(
            waited, now - step.tasks[step.ready_tasks.back()].ready_since);
      step.ready_tasks.clear();
      step.unblocked = false;
      for (Task& task : step.tasks) {
        if (task.phase == SchedulingPhase::kDone)
          continue;
        task.phase = SchedulingPhase::kElsewhere;
        // A higher number than any that this cell has used.
        if (job.may_have_started)
          task.run = task.run.Next();
      }
    }
    MarkDirty(state, *iteration);
  }
  SendTransfer(state, job, waited);
  ++state.counters.moved_jobs;
  if (const auto ref = FirstTaskOf(job))
    LogDecision(state, "job_moved", *ref,
                "to_cell=" + std::to_string(target.value()));
}

void SendTasks(State& state,
               const Job& job,
               CellId target,
               std::vector<MovedTask> tasks) {
  // Each message has a key of its own: the store keeps the newest record of a
  // key, and an owner may move other tasks of the job later.
  const std::string part = std::to_string(state.options.epoch.value()) + "-" +
                           std::to_string(state.options.cell.value()) + "-" +
                           std::to_string(state.next_message_number++);
  const JobTransfer transfer{.job = job.spec,
                             .from = state.options.cell,
                             .hop = job.hop + 1,
                             .tasks = std::move(tasks)};
  state.messages.push_back(
      {target, TransferKey(job.spec.id, part), EncodeTransfer(transfer), {}});
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
  for (; !step.ready_tasks.empty() && moved.size() < count;
       step.ready_tasks.pop_back()) {
    const TaskRef ref{&iteration, key.step, step.ready_tasks.back()};
    Task& task = TaskOf(ref);
    if (task.phase != SchedulingPhase::kReady)
      continue;
    // The other cell would start it at once.
    if (IsHeldBack(state, ref))
      break;
    LogDecision(state, "run_moved", ref,
                "to_cell=" + std::to_string(target.value()));
    // A higher number than any that this cell has used: a transfer that
    // arrives late is told from a newer one.
    task.run = task.run.Next();
    task.phase = SchedulingPhase::kElsewhere;
    task.other_cell = static_cast<uint32_t>(target.value());
    moved.push_back(DescribeTask(ref, now - task.ready_since));
  }
  // A transfer without tasks would be one of the whole job.
  if (moved.empty())
    return;
  // The rest of the job must not move as a whole any more.
  iteration.job->may_have_started = true;
  // The other cell does not report starts.
  NoteStart(*iteration.job);
  MarkDirty(state, iteration);
  state.counters.moved_tasks += moved.size();
  SendTasks(state, *iteration.job, target, std::move(moved));
}

void AddPart(State& state,
             Job& job,
             const JobTransfer& transfer,
             TimePoint now) {
  Iteration& iteration = GetOrCreateIteration(state, job, 0, job.arrived);
  job.next_iteration = 1;
  for (const MovedTask& moved : transfer.tasks) {
    if (moved.step >= iteration.steps.size() ||
        moved.index >= iteration.steps[moved.step].tasks.size())
      continue;
    const TaskRef ref{&iteration, moved.step, moved.index};
    Task& task = TaskOf(ref);
    // In a replay it is known later whether the task is here; a higher run
    // number in the stored progress then counts.
    const bool is_away =
        !state.restored || task.phase == SchedulingPhase::kElsewhere;
    if (!is_away || task.run >= moved.run)
      continue;
    task.run = moved.run;
    task.failures = moved.failures;
    task.checkpoint = moved.checkpoint;
    SetCrashes(state, ref, moved.crashes);
    task.other_cell = kThisCell;
    task.came_from = static_cast<uint32_t>(transfer.from.value());
    task.phase = SchedulingPhase::kBlocked;
    MarkDirty(state, iteration);
    // A replay makes its tasks ready at its end.
    if (!state.restored || job.ended_at)
      continue;
    iteration.steps[moved.step].unblocked = true;
    MakeReady(state, ref, now, moved.waited);
  }
}

// The whole job is back: the tasks that left with it are this cell's again.
void ReturnTasks(Job& job) {
  for (auto& [number, iteration] : job.iterations) {
    for (StepState& step : iteration->steps) {
      // A replay has unblocked it for tasks that come back alone.
      step.unblocked = false;
      for (Task& task : step.tasks) {
        if (task.phase == SchedulingPhase::kElsewhere &&
            task.other_cell == kThisCell)
          task.phase = SchedulingPhase::kBlocked;
      }
    }
  }
}

bool HasTask(const Iteration& iteration, uint32_t step, uint32_t index) {
  return step < iteration.steps.size() &&
         index < iteration.steps[step].tasks.size();
}

// A job that started in another cell goes on here.
void ApplyTaskStates(State& state, Job& job, const JobTransfer& transfer) {
  if (!transfer.done_tasks)
    return;
  Iteration& iteration = GetOrCreateIteration(state, job, 0, job.arrived);
  job.may_have_started = true;
  NoteStart(job);
  for (const MovedTask& moved : transfer.tasks) {
    if (!HasTask(iteration, moved.step, moved.index))
      continue;
    const TaskRef ref{&iteration, moved.step, moved.index};
    Task& task = TaskOf(ref);
    task.run = std::max(task.run, moved.run);
    task.failures = moved.failures;
    task.checkpoint = moved.checkpoint;
    SetCrashes(state, ref, moved.crashes);
  }
  for (const TaskPosition& done : *transfer.done_tasks) {
    if (!HasTask(iteration, done.step, done.index))
      continue;
    StepState& step = iteration.steps[done.step];
    if (step.tasks[done.index].phase == SchedulingPhase::kDone)
      continue;
    step.tasks[done.index].phase = SchedulingPhase::kDone;
    if (--step.unfinished_tasks == 0)
      --iteration.unfinished_steps;
  }
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
  Iteration& iteration = GetOrCreateIteration(state, job, 0, job.arrived);
  for (StepState& step : iteration.steps) {
    step.unblocked = state.restored;
    for (Task& task : step.tasks)
      task.phase = SchedulingPhase::kElsewhere;
  }
  return job;
}

std::set<CellId> CellsOfParts(const Job& job) {
  std::set<CellId> cells;
  if (job.moved_to)
    cells.insert(*job.moved_to);
  for (const auto& [number, iteration] : job.iterations) {
    for (const StepState& step : iteration->steps) {
      for (const Task& task : step.tasks) {
        if (task.phase == SchedulingPhase::kElsewhere &&
            task.other_cell != kThisCell)
          cells.insert(CellId(task.other_cell));
      }
    }
  }
  return cells;
}

void RepeatTaskTransfers(State& state, const Job& job) {
  std::map<CellId, std::vector<MovedTask>> moved;
  for (const auto& [number, iteration] : job.iterations) {
    for (uint32_t i = 0; i < iteration->steps.size(); ++i) {
      for (uint32_t k = 0; k < iteration->steps[i].tasks.size(); ++k) {
        const TaskRef ref{iteration.get(), i, k};
        const Task& task = TaskOf(ref);
        if (task.phase == SchedulingPhase::kElsewhere &&
            task.other_cell != kThisCell)
          moved[CellId(task.other_cell)].push_back(
              DescribeTask(ref, Duration(0)));
      }
    }
  }
  for (auto& [cell, tasks] : moved)
    SendTasks(state, job, cell, std::move(tasks));
}

}  // namespace

void PlanJobTransfers(State& state, TimePoint now) {
  if (!HasFreshLoads(state, now))
    return;
  std::optional<CellLoad> own;
  size_t considered = 0;
  std::vector<std::pair<Job*, CellId>> moves;
  for (const ReadyKey& key : state.ready_steps) {
    Job& job = *key.iteration->job;
    if (key.iteration->steps[key.step].ready_tasks.empty() ||
        (!MayMove(job) && !MayGoOnElsewhere(state, key, now)) ||
        (!moves.empty() && moves.back().first == &job))
      continue;
    if (++considered > kMaxStepsConsidered)
      break;
    if (!own)
      own = MeasureLoad(state, now);
    const WaitingWork work = DescribeWork(state, key, now);
    auto target = CellOfOversizedStep(state, key);
    if (!target && job.may_have_started && HasWorkerFor(*own, work))
      continue;
    if (!target)
      target = CellOfData(state, key);
    if (!target)
      target = ChooseCell(work, *own, state.cell_loads);
    if (!target)
      continue;
    ShiftLoad(state, *own, work, *target);
    moves.emplace_back(&job, *target);
  }
  for (const auto& [job, target] : moves) {
    if (!job->moved_to)
      MoveJob(state, *job, target, now);
  }
  if (!moves.empty()) {
    std::erase_if(state.ready_steps, [](const ReadyKey& key) {
      const StepState& step = key.iteration->steps[key.step];
      return key.iteration->job->moved_to && step.ready_tasks.empty();
    });
  }
}

void PlanTaskTransfers(State& state, TimePoint now) {
  if (!HasFreshLoads(state, now))
    return;
  std::vector<TaskMove> moves;
  std::optional<CellLoad> own;
  for (const ReadyKey& key : state.ready_steps) {
    if (!MayMoveTasks(key, now))
      continue;
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

void ApplyTransfer(State& state,
                   const JobTransfer& transfer,
                   TimePoint now,
                   WallTime wall) {
  const auto found = state.jobs.find(transfer.job.id);
  if (!transfer.tasks.empty() && !transfer.done_tasks) {
    Job& job = found == state.jobs.end()
                   ? AddPartialJob(state, transfer, now, wall)
                   : *found->second;
    if (job.is_part && !job.received_from)
      job.received_from = transfer.from;
    AddPart(state, job, transfer, now);
  } else if (found == state.jobs.end()) {
    Job& job = AddJobWithoutIterations(state, transfer.job, now, wall);
    job.received_from = transfer.from;
    job.hop = transfer.hop;
    job.base_run = RunNumber(transfer.hop);
    ApplyTaskStates(state, job, transfer);
    StartFirstIteration(state, job, now);
    AddEarlierWait(job, transfer.waited);
  } else if (found->second->hop < transfer.hop) {
    Job& job = *found->second;
    // The job has come back, unless this is a replay: what is replayed next
    // tells whether it has left again.
    if (!job.received_from)
      job.received_from = transfer.from;
    job.hop = transfer.hop;
    job.base_run = RunNumber(transfer.hop);
    if (!job.ended_at && (job.moved_to || !state.restored)) {
      job.moved_to.reset();
      ReturnTasks(job);
      ApplyTaskStates(state, job, transfer);
      StartFirstIteration(state, job, now);
      AddEarlierWait(job, transfer.waited);
    }
  }
  state.needs_plan = true;
  if (state.early_cancellations.erase(transfer.job.id) > 0)
    CancelKnownJob(state, *state.jobs.find(transfer.job.id)->second, now);
}

void ApplyRemoteEnd(State& state,
                    const JobId& id,
                    JobState end,
                    TimePoint now) {
  const auto found = state.jobs.find(id);
  if (found == state.jobs.end() || found->second->ended_at)
    return;
  const Job& job = *found->second;
  const bool part_failed =
      end == JobState::kFailed && !CellsOfParts(job).empty();
  if (!job.moved_to && !part_failed)
    return;
  // Tasks of the job may have come back here alone.
  EndJob(state, *found->second, end, now);
}

void PlanEndMessage(State& state, const Job& job) {
  if (job.received_from)
    state.messages.push_back({*job.received_from, EndKey(job.spec.id),
                              EncodeEnd(job.state), job.spec.id});
}

void PlanCancellationOfParts(State& state, const Job& job) {
  for (const CellId cell : CellsOfParts(job)) {
    if (cell != job.moved_to)
      state.messages.push_back({cell, CancellationKey(job.spec.id), "1", {}});
  }
}

void RepeatMessages(State& state, const Job& job) {
  if (job.ended_at) {
    PlanEndMessage(state, job);
    // A cancelled job may still run in other cells.
    if (job.state != JobState::kCancelled)
      return;
  }
  if (job.moved_to && !job.ended_at)
    SendTransfer(state, job, Duration(0));
  if (!job.ended_at)
    RepeatTaskTransfers(state, job);
  if (job.is_cancelled)
    ForwardCancellation(state, job);
}

void ForwardCancellation(State& state, const Job& job) {
  for (const CellId cell : CellsOfParts(job))
    state.cancellations.push_back(
        {cell, CancellationKey(job.spec.id), "1", {}});
}

}  // namespace cowslipmast::sched
