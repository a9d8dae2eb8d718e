#include "src/sched/job_parts.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "src/sched/assignment.h"
#include "src/sched/jobs.h"
#include "src/sched/order.h"
#include "src/sched/work_to_move.h"

namespace cowslipmast::sched {

namespace {

CellId CoordinatorOf(const State& state, const Job& job) {
  if (IsCoordinator(job))
    return state.options.cell;
  return job.coordinator ? *job.coordinator : job.moved_to.value_or(CellId());
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
  task.has_run = moved.has_run;
  task.ready_since = now - moved.waited;
  SetCrashes(state, ref, moved.crashes);
  task.other_cell = kThisCell;
  task.came_from = static_cast<uint32_t>(from.value());
  task.has_just_moved = true;
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

bool AnyTask(const Iteration& iteration, bool (*is_searched)(const Task&)) {
  return std::any_of(iteration.steps.begin(), iteration.steps.end(),
                     [is_searched](const StepState& step) {
                       return std::any_of(step.tasks.begin(), step.tasks.end(),
                                          is_searched);
                     });
}

bool HasWorker(const Task& task) {
  return task.worker != kNoWorker;
}

bool IsDoneHere(const Task& task) {
  return task.phase == SchedulingPhase::kDone;
}

bool IsHeldHere(const Task& task) {
  return !IsDoneHere(task) && task.phase != SchedulingPhase::kElsewhere;
}

// The coordinator has seen all tasks of the iteration done.
void CloseIteration(State& state, Job& job, uint32_t number, TimePoint now) {
  if (number >= IterationCount(job.spec) || IsDone(job, number))
    return;
  Iteration& iteration = GetOrCreateIteration(state, job, number, now);
  // Workers must not keep references to tasks that are freed. In a replay a
  // task that came here may not be known yet to be done.
  if (AnyTask(iteration, state.restored ? IsHeldHere : HasWorker))
    return;
  SetAllDone(iteration);
  iteration.is_closed = true;
  NoteDone(job, number);
  PlanEndOfIterationParts(state, iteration);
  MarkDirty(state, iteration);
}

void RepeatTaskTransfers(State& state,
                         const Iteration& iteration,
                         TimePoint now) {
  std::map<CellId, std::vector<MovedTask>> moved;
  Iteration* own = iteration.job->iterations.at(iteration.number).get();
  for (uint32_t i = 0; i < iteration.steps.size(); ++i) {
    for (uint32_t k = 0; k < iteration.steps[i].tasks.size(); ++k) {
      const TaskRef ref{own, i, k};
      const Task& task = ReadTask(ref);
      if (task.phase == SchedulingPhase::kElsewhere &&
          task.other_cell != kThisCell)
        moved[CellId(task.other_cell)].push_back(DescribeTask(
            ref, IsWaitKnown(task) ? now - task.ready_since : Duration(0)));
    }
  }
  for (auto& [cell, tasks] : moved)
    SendTasks(state, iteration, cell, std::move(tasks), Duration(0));
}

}  // namespace

bool IsCoordinator(const Job& job) {
  return !job.is_part && !job.moved_to;
}

void SendTasks(State& state,
               const Iteration& iteration,
               CellId target,
               std::vector<MovedTask> tasks,
               Duration age) {
  const Job& job = *iteration.job;
  const JobTransfer transfer{.job = job.spec,
                             .from = state.options.cell,
                             .hop = job.hop + 1,
                             .tasks = std::move(tasks),
                             .iteration = iteration.number,
                             .age = age,
                             .coordinator = CoordinatorOf(state, job)};
  // Each message has a key of its own: the store keeps the newest record of a
  // key, and an owner may move other tasks of the job later.
  const std::string part = std::to_string(state.options.epoch.value()) + "-" +
                           std::to_string(state.options.cell.value()) + "-" +
                           std::to_string(state.next_message_number++);
  state.messages.push_back(
      {target, TransferKey(job.spec.id, part), EncodeTransfer(transfer), {}});
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
    NoteStart(*found->second);
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

void RepeatPartMessages(State& state, const Job& job, TimePoint now) {
  for (const auto& [number, iteration] : job.iterations) {
    if (IsDone(job, number))
      continue;
    RepeatTaskTransfers(state, *iteration, now);
    if (!IsCoordinator(job) && AnyTask(*iteration, IsDoneHere))
      PlanPartReport(state, *iteration);
  }
}

}  // namespace cowslipmast::sched
