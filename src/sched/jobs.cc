#include "src/sched/jobs.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <utility>

#include "cowslipmast/sched/job_codec.h"
#include "src/sched/assignment.h"
#include "src/sched/job_parts.h"
#include "src/sched/order.h"
#include "src/sched/progress.h"
#include "src/sched/transfers.h"

namespace cowslipmast::sched {

namespace {

// A follower may have read a record this long before it passes it on: it reads
// the newest records in pages, and a page takes up to a second.
constexpr Duration kDeletedJobRetention = std::chrono::seconds(60);

// The iterations of a job that are not done have as many tasks together as one
// iteration of an accepted job may have, so that a job whose iterations are all
// overdue needs no more memory than another one.
constexpr size_t kMaxOpenTasks = 4000;
constexpr size_t kMaxOpenIterations = 64;

size_t CountTasks(const JobDefinition& spec) {
  size_t tasks = 0;
  for (const StepSpec& step : spec.steps)
    tasks += step.count;
  return tasks;
}

// True if the job's next iteration need not wait until an earlier one is done.
bool MayCreateIteration(const Job& job) {
  const size_t open = job.iterations.size();
  return open == 0 || (open < kMaxOpenIterations &&
                       (open + 1) * CountTasks(job.spec) <= kMaxOpenTasks);
}

// Of a part, only the tasks that are moved here are in this cell.
void SetElsewhere(Iteration& iteration) {
  for (StepState& step : iteration.steps)
    step.tasks.ChangeAll(
        [](Task& task) { task.phase = SchedulingPhase::kElsewhere; });
}

// Passes over iterations that an earlier owner has seen done, and returns when
// the next one is due.
WallTime SkipDoneIterations(Job& job, WallTime due) {
  for (; IsDone(job, job.next_iteration); ++job.next_iteration)
    due += job.spec.interval;
  return due;
}

bool AreDependenciesDone(const Iteration& iteration, const StepSpec& spec) {
  return std::all_of(spec.depends_on.begin(), spec.depends_on.end(),
                     [&](uint32_t earlier) {
                       return earlier < iteration.steps.size() &&
                              iteration.steps[earlier].unfinished_tasks == 0;
                     });
}

bool IsEnd(JobState state) {
  return state == JobState::kCompleted || state == JobState::kFailed ||
         state == JobState::kCancelled;
}

void FinishIteration(State& state, Iteration& iteration, TimePoint now) {
  Job& job = *iteration.job;
  if (!IsCoordinator(job))
    return;
  NoteDone(job, iteration.number);
  if (job.state == JobState::kFailed || job.state == JobState::kCancelled)
    return;
  if (job.iterations_done < IterationCount(job.spec)) {
    PlanEndOfIterationParts(state, iteration);
    return;
  }
  // Ends of restored jobs are handled once all of their records are replayed.
  if (!state.restored)
    return;
  job.state = JobState::kCompleted;
  job.ended_at = now;
  PlanEndMessages(state, job);
  PlanEndOfParts(state, job);
}

}  // namespace

Job& AddJobWithoutIterations(State& state,
                             const JobDefinition& spec,
                             TimePoint now,
                             WallTime wall) {
  std::unique_ptr<Job>& slot = state.jobs[spec.id];
  slot = std::make_unique<Job>();
  slot->spec = spec;
  slot->encoded_bytes = EncodeJob(spec).size();
  slot->sequence = state.next_sequence++;
  slot->arrived = now - std::max(Duration(0), wall - spec.accepted);
  state.needs_plan = true;
  return *slot;
}

void StartFirstIteration(State& state, Job& job, TimePoint now) {
  Iteration& iteration = GetOrCreateIteration(state, job, 0, job.arrived);
  job.next_iteration = 1;
  for (StepState& step : iteration.steps)
    step.tasks.ChangeAll(
        [&](Task& task) { task.run = std::max(task.run, job.base_run); });
  if (state.restored)
    UnblockSteps(state, iteration, now);
}

void CancelKnownJob(State& state, Job& job, TimePoint now) {
  if (job.ended_at)
    return;
  job.is_cancelled = true;
  if (!state.restored) {
    if (job.state != JobState::kCompleted)
      job.state = JobState::kCancelled;
    return;
  }
  ForwardCancellation(state, job);
  EndJob(state, job, JobState::kCancelled, now);
}

uint32_t IterationCount(const JobDefinition& spec) {
  return std::max<uint32_t>(1, spec.iterations);
}

const QueuePolicy& PolicyOf(const State& state, const Job& job) {
  // Without a policy nothing is known of a service or of permitted attempts, so
  // that a job neither starts nor fails.
  static const QueuePolicy unknown_queue{
      .service = ServiceId(),
      .priority = 0,
      .max_attempts = std::numeric_limits<uint32_t>::max()};
  const auto found = state.policy.queues.find(job.spec.queue);
  if (found != state.policy.queues.end())
    return found->second;
  return job.spec.accepted_policy ? *job.spec.accepted_policy : unknown_queue;
}

void MarkDirty(State& state, Iteration& iteration) {
  state.needs_plan = true;
  if (iteration.dirty)
    return;
  iteration.dirty = true;
  state.dirty_iterations.push_back(&iteration);
}

Iteration& GetOrCreateIteration(State& state,
                                Job& job,
                                uint32_t number,
                                TimePoint due) {
  std::unique_ptr<Iteration>& slot = job.iterations[number];
  if (slot)
    return *slot;
  slot = std::make_unique<Iteration>();
  slot->job = &job;
  slot->number = number;
  slot->due = due;
  slot->steps.resize(job.spec.steps.size());
  for (size_t i = 0; i < slot->steps.size(); ++i) {
    slot->steps[i].tasks.Create(job.spec.steps[i].count);
    slot->steps[i].unfinished_tasks = job.spec.steps[i].count;
    if (slot->steps[i].unfinished_tasks > 0)
      ++slot->unfinished_steps;
    const StepSpec& spec = job.spec.steps[i];
    slot->steps[i].image =
        spec.best_effort
            ? BestEffortImageIndex(state.interference, spec.image)
            : LatencyCriticalImageIndex(state.interference, spec.image);
  }
  if (IsDone(job, number))
    SetAllDone(*slot);
  else if (job.is_part)
    SetElsewhere(*slot);
  state.needs_plan = true;
  return *slot;
}

void CreateDueIterations(State& state, TimePoint now, WallTime wall) {
  while (!state.upcoming_iterations.empty() &&
         state.upcoming_iterations.begin()->first <= wall) {
    Job& job = *state.upcoming_iterations.begin()->second;
    const WallTime due =
        SkipDoneIterations(job, state.upcoming_iterations.begin()->first);
    state.upcoming_iterations.erase(state.upcoming_iterations.begin());
    if (job.ended_at || job.next_iteration >= IterationCount(job.spec))
      continue;
    if (due > wall) {
      state.upcoming_iterations.emplace(due, &job);
      continue;
    }
    if (!job.iterations.contains(job.next_iteration) &&
        !MayCreateIteration(job)) {
      job.overdue_since = due;
      continue;
    }
    Iteration& iteration =
        GetOrCreateIteration(state, job, job.next_iteration, now);
    ++job.next_iteration;
    if (job.next_iteration < IterationCount(job.spec))
      state.upcoming_iterations.emplace(due + job.spec.interval, &job);
    UnblockSteps(state, iteration, now);
  }
}

bool IsDone(const Job& job, uint32_t iteration) {
  return iteration < job.done_iterations.size() &&
         job.done_iterations[iteration];
}

void NoteDone(Job& job, uint32_t iteration) {
  if (iteration >= job.done_iterations.size())
    job.done_iterations.resize(iteration + 1);
  job.done_iterations[iteration] = true;
  ++job.iterations_done;
}

void ForgetDoneIteration(State& state, Job& job, uint32_t number) {
  if (IterationCount(job.spec) == 1 || job.ended_at || !IsDone(job, number))
    return;
  const auto found = job.iterations.find(number);
  if (found == job.iterations.end() || found->second->dirty)
    return;
  const Iteration* iteration = found->second.get();
  std::erase_if(state.ready_steps, [iteration](const ReadyKey& key) {
    return key.iteration == iteration;
  });
  job.iterations.erase(found);
  if (!job.overdue_since)
    return;
  state.upcoming_iterations.emplace(*job.overdue_since, &job);
  job.overdue_since.reset();
  state.needs_plan = true;
}

namespace {

// Where tasks that have waited since then belong among the ready ones.
std::vector<uint32_t>::const_iterator PlaceOf(const StepState& step,
                                              TimePoint ready_since) {
  return std::upper_bound(step.ready_tasks.begin(), step.ready_tasks.end(),
                          ready_since,
                          [&step](TimePoint since, uint32_t other) {
                            return step.tasks[other].ready_since < since;
                          });
}

// Queues all blocked tasks of the step.
void MakeStepReady(State& state,
                   Iteration& iteration,
                   uint32_t index,
                   TimePoint now) {
  StepState& step = iteration.steps[index];
  std::vector<uint32_t> ready;
  // In reverse, so that the last element of `ready_tasks`, which is placed
  // first, is the first task.
  for (auto i = static_cast<uint32_t>(step.tasks.size()); i-- > 0;) {
    if (std::as_const(step.tasks)[i].phase == SchedulingPhase::kBlocked)
      ready.push_back(i);
  }
  if (ready.empty())
    return;
  step.tasks.ChangeAll([now](Task& task) {
    if (task.phase != SchedulingPhase::kBlocked)
      return;
    task.phase = SchedulingPhase::kReady;
    task.ready_since = now;
    task.ready_here_since = now;
  });
  step.ready_tasks.insert(PlaceOf(step, now), ready.begin(), ready.end());
  OrderReadyTasks(iteration.job->spec.steps[index], step, now);
  state.ready_steps.insert(MakeReadyKey(state, iteration, index, now));
  state.needs_plan = true;
}

}  // namespace

void MakeReady(State& state,
               const TaskRef& ref,
               TimePoint now,
               Duration waited) {
  StepState& step = StepOf(ref);
  Task& task = TaskOf(ref);
  if (task.phase == SchedulingPhase::kReady)
    return;
  task.phase = SchedulingPhase::kReady;
  task.ready_since = now - waited;
  task.ready_here_since = now;
  step.ready_tasks.insert(PlaceOf(step, task.ready_since), ref.index);
  OrderReadyTasks(SpecOf(ref), step, now);
  state.ready_steps.insert(MakeReadyKey(state, *ref.iteration, ref.step, now));
  state.needs_plan = true;
}

void UnblockSteps(State& state, Iteration& iteration, TimePoint now) {
  if (iteration.job->ended_at)
    return;
  for (uint32_t i = 0; i < iteration.steps.size(); ++i) {
    StepState& step = iteration.steps[i];
    // A task that another cell moves here waits for no step any more.
    if (step.unblocked ||
        (IsCoordinator(*iteration.job) &&
         !AreDependenciesDone(iteration, iteration.job->spec.steps[i])))
      continue;
    step.unblocked = true;
    MakeStepReady(state, iteration, i, now);
  }
}

namespace {

// A task that has lost its run is overdue at once.
Duration RestoredWait(const Task& task, TimePoint now) {
  return IsWaitKnown(task)
             ? std::max(now - task.ready_since, kLongRunningOverdueAfter)
             : kLongRunningOverdueAfter;
}

}  // namespace

void ResumeWaits(State& state, Iteration& iteration, TimePoint now) {
  const JobDefinition& spec = iteration.job->spec;
  for (uint32_t i = 0; i < iteration.steps.size(); ++i) {
    if (!spec.steps[i].long_running)
      continue;
    iteration.steps[i].tasks.VisitOwn([&](uint32_t index) {
      const TaskRef ref{&iteration, i, index};
      if (ReadTask(ref).phase == SchedulingPhase::kBlocked &&
          ReadTask(ref).run > iteration.job->base_run)
        MakeReady(state, ref, now, RestoredWait(ReadTask(ref), now));
    });
  }
}

void FinishTask(State& state, const TaskRef& ref, TimePoint now) {
  if (ReadTask(ref).phase == SchedulingPhase::kDone)
    return;
  Iteration& iteration = *ref.iteration;
  iteration.has_unreported_ends = true;
  MarkDirty(state, iteration);
  SetTaskDone(ref);
  if (StepOf(ref).unfinished_tasks > 0)
    return;
  if (iteration.unfinished_steps == 0)
    FinishIteration(state, iteration, now);
  else if (state.restored)
    UnblockSteps(state, iteration, now);
}

void SetAllDone(Iteration& iteration) {
  iteration.unfinished_steps = 0;
  for (StepState& step : iteration.steps) {
    step.unfinished_tasks = 0;
    for (size_t i = 0; i < step.tasks.size(); ++i)
      step.tasks.SetDone(i);
  }
}

void SetTaskDone(const TaskRef& ref) {
  if (ReadTask(ref).phase == SchedulingPhase::kDone)
    return;
  StepOf(ref).tasks.SetDone(ref.index);
  if (--StepOf(ref).unfinished_tasks == 0)
    --ref.iteration->unfinished_steps;
}

void NoteStart(Job& job) {
  job.has_started = true;
  if (job.state == JobState::kQueued)
    job.state = JobState::kActive;
  // Unlike an end, a start that a worker has confirmed needs no record.
  if (job.published_state == JobState::kQueued)
    job.published_state = JobState::kActive;
}

bool IsWaiting(const Job& job) {
  return !job.has_started && !job.ended_at && !job.moved_to;
}

void EndJob(State& state, Job& job, JobState end, TimePoint now) {
  if (job.ended_at)
    return;
  job.state = end;
  job.ended_at = now;
  PlanEndMessages(state, job);
  PlanEndOfParts(state, job);
  // The stored record must show the end even if no task ever had a worker.
  GetOrCreateIteration(state, job, 0, now);
  for (const auto& entry : job.iterations) {
    Iteration* iteration = entry.second.get();
    for (uint32_t i = 0; i < iteration->steps.size(); ++i) {
      StepState& step = iteration->steps[i];
      step.ready_tasks.clear();
      step.tasks.ChangeAll([](Task& task) {
        if (task.phase == SchedulingPhase::kReady)
          task.phase = SchedulingPhase::kBlocked;
      });
      step.tasks.VisitOwn([&](uint32_t index) {
        const TaskRef ref{iteration, i, index};
        if (ReadTask(ref).worker != kNoWorker)
          StopTask(state, ref);
      });
    }
    MarkDirty(state, *iteration);
  }
}

void PublishStates(State& state, TimePoint now) {
  for (const auto& [id, stored_state] : state.jobs_to_publish) {
    const auto found = state.jobs.find(id);
    if (found == state.jobs.end())
      continue;
    Job& job = *found->second;
    job.published_state = stored_state;
    if (IsEnd(stored_state) && !std::exchange(job.end_stored, true))
      state.ended_jobs.emplace(now + state.options.ended_job_retention, id);
  }
  state.jobs_to_publish.clear();
}

void DeleteEndedJobs(State& state, TimePoint now, Plan& plan) {
  while (!state.ended_jobs.empty() && state.ended_jobs.begin()->first <= now) {
    const JobId id = state.ended_jobs.begin()->second;
    state.ended_jobs.erase(state.ended_jobs.begin());
    const auto found = state.jobs.find(id);
    if (found == state.jobs.end())
      continue;
    Job& job = *found->second;
    if (job.placed_tasks > 0 ||
        job.end_messages_stored < job.end_messages_planned) {
      state.ended_jobs.emplace(now + state.options.ended_job_retention, id);
      continue;
    }
    std::vector<std::string>& progress = state.deleted_jobs[id];
    for (const auto& [number, iteration] : job.iterations) {
      progress.push_back(ProgressKey(id, number));
      std::erase(state.dirty_iterations, iteration.get());
    }
    for (uint32_t number = 0; number < job.done_iterations.size(); ++number) {
      if (IsDone(job, number) && !job.iterations.contains(number))
        progress.push_back(ProgressKey(id, number));
    }
    std::erase_if(state.ready_steps, [&job](const ReadyKey& key) {
      return key.iteration->job == &job;
    });
    std::erase_if(state.upcoming_iterations,
                  [&job](const auto& entry) { return entry.second == &job; });
    plan.deleted_jobs.push_back(id);
    state.jobs.erase(found);
  }
}

void ForgetOldDeletions(State& state, TimePoint now) {
  std::deque<std::pair<TimePoint, JobId>>& deleted = state.deleted_submissions;
  while (!deleted.empty() &&
         now - deleted.front().first > kDeletedJobRetention) {
    state.deleted_jobs.erase(deleted.front().second);
    deleted.pop_front();
  }
}

void ForgetDeletedJobs(State& state,
                       const std::vector<JobId>& ids,
                       TimePoint now) {
  ForgetOldDeletions(state, now);
  for (const JobId& id : ids) {
    state.deleted_submissions.emplace_back(now, id);
    std::vector<std::string>& progress = state.deleted_jobs[id];
    std::move(progress.begin(), progress.end(),
              std::back_inserter(state.deleted_progress));
    progress.clear();
  }
  state.needs_plan = true;
}

}  // namespace cowslipmast::sched
