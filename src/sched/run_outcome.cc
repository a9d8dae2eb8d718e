#include "src/sched/run_outcome.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

#include "src/sched/assignment.h"
#include "src/sched/crash_suspects.h"
#include "src/sched/health.h"
#include "src/sched/jobs.h"
#include "src/sched/reservations.h"

namespace cowslipmast::sched {

namespace {

// One completed member completes its whole gang.
void FinishGang(State& state, const TaskRef& ref, TimePoint now) {
  StepState& step = StepOf(ref);
  for (uint32_t index = 0; index < step.tasks.size(); ++index) {
    const TaskRef member{ref.iteration, ref.step, index};
    UnassignTask(state, member);
    FinishTask(state, member, now);
  }
  // Members that had lost their runs.
  step.ready_tasks.clear();
}

void ApplyDone(State& state, const TaskRef& ref, TimePoint now) {
  ++state.counters.done;
  // A long-running task is started again whatever its outcome.
  if (SpecOf(ref).long_running) {
    RequeueTask(state, ref, now);
    return;
  }
  if (SpecOf(ref).gang) {
    FinishGang(state, ref, now);
    return;
  }
  UnassignTask(state, ref);
  FinishTask(state, ref, now);
}

// A gang fails as a whole, so the failures of all members count.
uint32_t CountFailures(const TaskRef& ref) {
  if (!SpecOf(ref).gang)
    return TaskOf(ref).failures;
  uint32_t failures = 0;
  for (const Task& task : StepOf(ref).tasks)
    failures += task.failures;
  return failures;
}

// True if the run of the gang has failed already: it counts once, although
// several of its members may fail.
bool HasGangFailed(const TaskRef& ref, RunNumber run) {
  const TaskList& members = StepOf(ref).tasks;
  return SpecOf(ref).gang &&
         std::any_of(members.begin(), members.end(), [run](const Task& member) {
           return member.last_failed_run == run;
         });
}

void ApplyFailed(State& state, const TaskRef& ref, TimePoint now) {
  ++state.counters.failed;
  Task& task = TaskOf(ref);
  if (!HasGangFailed(ref, task.run))
    ++task.failures;
  task.last_failed_run = task.run;
  Job& job = *ref.iteration->job;
  RequeueTask(state, ref, now);
  const uint32_t failures = CountFailures(ref);
  if (SpecOf(ref).long_running || failures < PolicyOf(state, job).max_attempts)
    return;
  LogDecision(state, "job_failed", ref, "attempts=" + std::to_string(failures));
  EndJob(state, job, JobState::kFailed, now);
}

// Time since the run that is listed as lapsed ended: with its lease, or at some
// time since the claim of an owner that has granted none.
Duration TimeSinceLapse(const State& state,
                        int32_t worker,
                        const TaskRef& ref,
                        TimePoint now) {
  const auto& instance = state.workers[static_cast<size_t>(worker)].instance;
  if (!SpecOf(ref).long_running || !instance || !instance->clock)
    return Duration(0);
  if (instance->heard_lease_end == WorkerClock(0))
    return now - state.claimed_at;
  return std::max(
      Duration(0),
      Duration(std::chrono::milliseconds(instance->clock->count() -
                                         instance->heard_lease_end.count())));
}

}  // namespace

void ApplyRunOutcome(State& state,
                     int32_t worker,
                     const EndedRun& ended,
                     TimePoint now) {
  const auto ref = FindTask(state, ended.task);
  if (!ref)
    return;
  Task& task = TaskOf(*ref);
  if (task.worker != worker || task.run != ended.run)
    return;
  NoteStart(*ref->iteration->job);
  task.has_run = true;
  LogDecision(state, RunOutcomeName(ended.outcome), *ref,
              "end=" + std::to_string(ended.number));
  if (!ended.checkpoint.empty())
    task.checkpoint = ended.checkpoint;
  RecordRunOutcome(state, worker, ended.outcome,
                   task.started ? now - *task.started : Duration(0), now);
  if (state.options.features.look_ahead && ended.outcome == RunOutcome::kDone)
    LearnRunTime(state, *ref, now);
  if (ended.outcome == RunOutcome::kDone ||
      ended.outcome == RunOutcome::kFailed)
    ClearSuspicion(state, *ref);
  switch (ended.outcome) {
    case RunOutcome::kDone:
      ApplyDone(state, *ref, now);
      return;
    case RunOutcome::kFailed:
      ApplyFailed(state, *ref, now);
      return;
    case RunOutcome::kLeaseExpired:
      ++state.counters.lease_expired;
      RequeueTask(state, *ref, now, TimeSinceLapse(state, worker, *ref, now));
      return;
    case RunOutcome::kStopped:
    case RunOutcome::kGangMemberEnded:
    case RunOutcome::kGangIncomplete:
      break;
  }
  RequeueTask(state, *ref, now);
}

}  // namespace cowslipmast::sched
