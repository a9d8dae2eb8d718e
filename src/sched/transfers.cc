#include "src/sched/transfers.h"

#include <algorithm>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "src/sched/assignment.h"
#include "src/sched/cell_load.h"
#include "src/sched/choose_cell.h"
#include "src/sched/job_parts.h"
#include "src/sched/jobs.h"
#include "src/sched/work_to_move.h"
#include "src/sched/workspace_caps.h"

namespace cowslipmast::sched {

namespace {

// A job that has moved this often stays where it is.
constexpr uint32_t kMaxHops = 8;
// Steps considered in one plan; bounds its duration while many wait.
constexpr size_t kMaxStepsConsidered = 200;

// Counts work that moves in the loads, so that the next decision sees it.
void ShiftLoad(State& state,
               CellLoad& own,
               const WaitingWork& work,
               CellId target) {
  const auto shift = [&work](ServiceLoad* load, MilliCores need) {
    if (load == nullptr)
      return;
    switch (work.kind) {
      case WorkKind::kOverdueShort:  // moves task by task
      case WorkKind::kOverdueLongRunning:
      case WorkKind::kOverdueBestEffort:
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
         IsCoordinator(job) && job.spec.iterations == 0 && job.hop < kMaxHops &&
         IsSmallEnoughToMove(job);
}

bool HasLongRunningStep(const Job& job) {
  return std::any_of(job.spec.steps.begin(), job.spec.steps.end(),
                     [](const StepSpec& spec) { return spec.long_running; });
}

// Adds how far a job has come that goes on in another cell.
void AddTaskStates(const Job& job, JobTransfer& transfer) {
  transfer.done_tasks.emplace();
  for (const auto& [number, iteration] : job.iterations) {
    for (uint32_t i = 0; i < iteration->steps.size(); ++i) {
      for (uint32_t k = 0; k < iteration->steps[i].tasks.size(); ++k) {
        const TaskRef ref{iteration.get(), i, k};
        if (ReadTask(ref).phase == SchedulingPhase::kDone)
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
      iteration->steps[i].tasks.ChangeAll(
          [waited](Task& task) { task.ready_since -= waited; });
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
      step.tasks.ChangeAll([&job](Task& task) {
        if (task.phase == SchedulingPhase::kDone)
          return;
        task.phase = SchedulingPhase::kElsewhere;
        // A higher number than any that this cell has used.
        if (job.may_have_started)
          task.run = task.run.Next();
      });
    }
    MarkDirty(state, *iteration);
  }
  SendTransfer(state, job, waited);
  ++state.counters.moved_jobs;
  if (const auto ref = FirstTaskOf(job))
    LogDecision(state, "job_moved", *ref,
                "to_cell=" + std::to_string(target.value()));
}

// The whole job is back: the tasks that left with it are this cell's again.
void ReturnTasks(Job& job) {
  for (auto& [number, iteration] : job.iterations) {
    for (StepState& step : iteration->steps) {
      // A replay has unblocked it for tasks that come back alone.
      step.unblocked = false;
      step.tasks.ChangeAll([](Task& task) {
        if (task.phase == SchedulingPhase::kElsewhere &&
            task.other_cell == kThisCell)
          task.phase = SchedulingPhase::kBlocked;
      });
    }
  }
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
    if (HasTask(iteration, done.step, done.index))
      SetTaskDone(TaskRef{&iteration, done.step, done.index});
  }
}

// The whole job has come to a cell that knows it.
void ApplyReturn(State& state,
                 Job& job,
                 const JobTransfer& transfer,
                 TimePoint now) {
  // Also if the job has moved on since: that cell keeps it until it is told.
  job.received_from.insert(transfer.from);
  if (job.hop >= transfer.hop)
    return;
  // A replay may have read first that tasks of the job came back alone. What it
  // reads next tells whether the job has left again.
  const bool was_part = std::exchange(job.is_part, false);
  job.hop = transfer.hop;
  job.base_run = RunNumber(transfer.hop);
  if (job.ended_at || (!job.moved_to && !was_part && state.restored))
    return;
  job.moved_to.reset();
  ReturnTasks(job);
  ApplyTaskStates(state, job, transfer);
  StartFirstIteration(state, job, now);
  AddEarlierWait(job, transfer.waited);
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
    if (key.iteration->steps[key.step].ready_tasks.empty() || !MayMove(job) ||
        (!moves.empty() && moves.back().first == &job))
      continue;
    if (++considered > kMaxStepsConsidered)
      break;
    if (!own)
      own = MeasureLoad(state, now);
    const WaitingWork work = DescribeWork(state, key, now);
    auto target = CellOfOversizedStep(state, key);
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

void ApplyTransfer(State& state,
                   const JobTransfer& transfer,
                   TimePoint now,
                   WallTime wall) {
  const auto found = state.jobs.find(transfer.job.id);
  if (!transfer.tasks.empty() && !transfer.done_tasks) {
    ApplyTaskTransfer(state, transfer, now, wall);
  } else if (found == state.jobs.end()) {
    Job& job = AddJobWithoutIterations(state, transfer.job, now, wall);
    job.received_from.insert(transfer.from);
    job.hop = transfer.hop;
    job.base_run = RunNumber(transfer.hop);
    ApplyTaskStates(state, job, transfer);
    StartFirstIteration(state, job, now);
    AddEarlierWait(job, transfer.waited);
  } else {
    ApplyReturn(state, *found->second, transfer, now);
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
  Job& job = *found->second;
  const bool part_failed = end == JobState::kFailed && !job.part_cells.empty();
  if (!job.moved_to && !part_failed)
    return;
  job.ended_elsewhere = true;
  // Tasks of the job may have come back here alone.
  EndJob(state, job, end, now);
}

void PlanEndMessages(State& state, Job& job) {
  // Cells through which the job came here.
  std::set<CellId> cells = job.received_from;
  if (!IsCoordinator(job) && job.coordinator && !job.ended_elsewhere &&
      job.state == JobState::kFailed)
    cells.insert(*job.coordinator);
  for (const CellId cell : cells)
    state.messages.push_back(
        {cell, EndKey(job.spec.id), EncodeEnd(job.state), job.spec.id});
  job.end_messages_planned = static_cast<uint32_t>(cells.size());
}

void RepeatMessages(State& state, const Job& job, TimePoint now) {
  // A cell that hands on tasks of the job has received it.
  if (job.moved_to && !job.coordinator)
    SendTransfer(state, job, Duration(0));
  RepeatPartMessages(state, job, now);
  if (job.is_cancelled)
    ForwardCancellation(state, job);
}

void ForwardCancellation(State& state, const Job& job) {
  std::set<CellId> cells = job.part_cells;
  // Cancellations come from there.
  cells.erase(CellOfJob(state.options.layout, job.spec.id));
  if (job.moved_to)
    cells.insert(*job.moved_to);
  for (const CellId cell : cells)
    state.cancellations.push_back(
        {cell, CancellationKey(job.spec.id), "1", {}});
}

}  // namespace cowslipmast::sched
