#include "src/sched/jobs.h"

#include <algorithm>
#include <utility>

#include "src/sched/order.h"
#include "src/sched/progress.h"
#include "src/sched/residence.h"

namespace cowslipmast::sched {

namespace {

// Callers may ask for the state of an ended job for 120 s, and a late copy of
// a submission may arrive some seconds after its answer.
constexpr Duration kKeepEnded = std::chrono::seconds(150);

bool AreDependenciesDone(const Iteration& iteration, const StepSpec& spec) {
  return std::all_of(spec.depends_on.begin(), spec.depends_on.end(),
                     [&](uint32_t earlier) {
                       return earlier < iteration.steps.size() &&
                              iteration.steps[earlier].open == 0;
                     });
}

void FinishIteration(State& state, Iteration& iteration, TimePoint now) {
  Job& job = *iteration.job;
  ++job.iterations_done;
  if (job.iterations_done < IterationCount(job.spec) ||
      job.state == JobState::kFailed || job.state == JobState::kCancelled)
    return;
  job.state = JobState::kCompleted;
  job.ended_at = now;
  state.ended.emplace(now + kKeepEnded, job.spec.id);
}

}  // namespace

uint32_t IterationCount(const JobSpec& spec) {
  return std::max<uint32_t>(1, spec.iterations);
}

const QueuePolicy& PolicyOf(const State& state, const Job& job) {
  static const QueuePolicy unknown_queue;
  const auto found = state.policy.queues.find(job.spec.queue);
  return found == state.policy.queues.end() ? unknown_queue : found->second;
}

void MarkDirty(State& state, Iteration& iteration) {
  state.changed = true;
  if (iteration.dirty)
    return;
  iteration.dirty = true;
  state.dirty.push_back(&iteration);
}

Iteration& IterationOf(State& state, Job& job, uint32_t number, TimePoint due) {
  std::unique_ptr<Iteration>& slot = job.iterations[number];
  if (slot)
    return *slot;
  slot = std::make_unique<Iteration>();
  slot->job = &job;
  slot->number = number;
  slot->due = due;
  slot->steps.resize(job.spec.steps.size());
  for (size_t i = 0; i < slot->steps.size(); ++i) {
    slot->steps[i].tasks.resize(job.spec.steps[i].count);
    slot->steps[i].open = job.spec.steps[i].count;
    if (slot->steps[i].open > 0)
      ++slot->open;
    const StepSpec& spec = job.spec.steps[i];
    slot->steps[i].image = spec.fills
                               ? FillingImage(state.pressure, spec.image)
                               : ServingImage(state.pressure, spec.image);
  }
  state.changed = true;
  return *slot;
}

void OpenDueIterations(State& state, TimePoint now, WallTime wall) {
  while (!state.timed.empty() && state.timed.begin()->first <= wall) {
    Job& job = *state.timed.begin()->second;
    const WallTime due = state.timed.begin()->first;
    state.timed.erase(state.timed.begin());
    if (job.ended_at)
      continue;
    Iteration& iteration = IterationOf(state, job, job.next_iteration, now);
    ++job.next_iteration;
    if (job.next_iteration < IterationCount(job.spec))
      state.timed.emplace(due + job.spec.interval, &job);
    UnblockSteps(state, iteration, now);
  }
}

void MakeReady(State& state, const TaskRef& ref, TimePoint now) {
  Step& step = StepOf(ref);
  Task& task = TaskOf(ref);
  if (task.phase == TaskPhase::kReady)
    return;
  task.phase = TaskPhase::kReady;
  task.ready_since = now;
  step.ready.push_back(ref.index);
  state.ready.insert(MakeReadyKey(state, *ref.iteration, ref.step, now));
  state.changed = true;
}

void UnblockSteps(State& state, Iteration& iteration, TimePoint now) {
  if (iteration.job->ended_at)
    return;
  for (uint32_t i = 0; i < iteration.steps.size(); ++i) {
    Step& step = iteration.steps[i];
    if (step.unblocked ||
        !AreDependenciesDone(iteration, iteration.job->spec.steps[i]))
      continue;
    step.unblocked = true;
    // Pushed in reverse, so that the last element is the first task.
    for (uint32_t index = static_cast<uint32_t>(step.tasks.size());
         index-- > 0;) {
      if (step.tasks[index].phase == TaskPhase::kBlocked)
        MakeReady(state, TaskRef{&iteration, i, index}, now);
    }
  }
}

void FinishTask(State& state, const TaskRef& ref, TimePoint now) {
  Task& task = TaskOf(ref);
  if (task.phase == TaskPhase::kDone)
    return;
  Iteration& iteration = *ref.iteration;
  Step& step = StepOf(ref);
  task.phase = TaskPhase::kDone;
  task.worker = kNowhere;
  task.checkpoint.clear();
  MarkDirty(state, iteration);
  if (--step.open > 0)
    return;
  if (--iteration.open == 0) {
    FinishIteration(state, iteration, now);
    return;
  }
  UnblockSteps(state, iteration, now);
}

void EndJob(State& state, Job& job, JobState end, TimePoint now) {
  if (job.ended_at)
    return;
  job.state = end;
  job.ended_at = now;
  state.ended.emplace(now + kKeepEnded, job.spec.id);
  // The record must show the end even if no task ever had a place.
  IterationOf(state, job, 0, now);
  for (auto& [number, iteration] : job.iterations) {
    for (uint32_t i = 0; i < iteration->steps.size(); ++i) {
      Step& step = iteration->steps[i];
      step.ready.clear();
      for (uint32_t index = 0; index < step.tasks.size(); ++index) {
        const TaskRef ref{iteration.get(), i, index};
        Task& task = step.tasks[index];
        if (task.worker != kNowhere)
          StopTask(state, ref);
        else if (task.phase == TaskPhase::kReady)
          task.phase = TaskPhase::kBlocked;
      }
    }
    MarkDirty(state, *iteration);
  }
}

void ForgetEndedJobs(State& state, TimePoint now, Plan& plan) {
  while (!state.ended.empty() && state.ended.begin()->first <= now) {
    const JobId id = state.ended.begin()->second;
    state.ended.erase(state.ended.begin());
    const auto found = state.jobs.find(id);
    if (found == state.jobs.end())
      continue;
    Job& job = *found->second;
    if (job.placed > 0) {
      state.ended.emplace(now + kKeepEnded, id);
      continue;
    }
    for (const auto& [number, iteration] : job.iterations) {
      plan.records.push_back({ProgressKey(id, number), ""});
      std::erase(state.dirty, iteration.get());
    }
    std::erase_if(state.ready, [&job](const ReadyKey& key) {
      return key.owner->job == &job;
    });
    std::erase_if(state.timed,
                  [&job](const auto& entry) { return entry.second == &job; });
    plan.forgotten.push_back(id);
    state.jobs.erase(found);
  }
}

}  // namespace cowslipmast::sched
