#include "src/sched/crash_suspects.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "src/sched/assignment.h"
#include "src/sched/jobs.h"

namespace cowslipmast::sched {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A crash is blamed on a run that started at most this long before the worker's
// last sign of life, or after it.
constexpr Duration kMaxAgeToBlame = milliseconds(200);
// A run that has lasted this long has not crashed its worker.
constexpr Duration kSurvivalTime = seconds(10);
// So many workers that end within a few seconds, and on which nothing has just
// started, have another cause in common.
constexpr size_t kUnexplainedEndsOfMassFailure = 2;
constexpr Duration kMassFailurePeriod = seconds(8);
// Workers that end within this time may have a cause in common.
constexpr Duration kSimultaneousEndsPeriod = seconds(1);
// Blamed crashes after which a task is given up that stands out among the tasks
// beside it. A long-running one gets one more: some workers end in its life
// anyway.
constexpr uint32_t kMaxBlamed = 3;
// During a mass failure runs that have just started are hit by chance.
constexpr uint32_t kMaxBlamedInMassFailure = 4;
// Crashes of any kind after which a task is given up: a short one with some of
// them blamed on it, another one if the tasks beside it have fewer. The
// platform tolerates five starts of a task that crashes its workers.
constexpr uint32_t kMaxCrashes = 5;
constexpr uint32_t kMinBlamedAtLimit = 2;
// A task that crashes each worker is blamed each time, unless the response to
// its start was lost or the owner that saw it start was replaced.
constexpr uint32_t kMaxNotBlamed = 1;
// Smaller than the penalty for another rack than that of the data, larger than
// differences between equally suitable workers.
constexpr double kPenaltyBesideSuspect = 100.0;
constexpr double kPenaltyPerNeighbour = 1.0;

struct Suspect {
  TaskName name;
  CrashEvidence evidence;
};

WorkerState& WorkerAt(State& state, int32_t worker) {
  return state.workers[static_cast<size_t>(worker)];
}

// True if the start command of the task has been sent, as far as is known.
bool HasStarted(const Task& task) {
  return task.phase == SchedulingPhase::kRunning ||
         task.phase == SchedulingPhase::kStopping ||
         task.phase == SchedulingPhase::kUncertain;
}

bool HasJustStarted(const WorkerState& worker, const Task& task) {
  return task.started && worker.instance &&
         *task.started + kMaxAgeToBlame >= worker.instance->clock_received_at;
}

size_t CountUnexplainedEnds(State& state, TimePoint now) {
  while (!state.unexplained_ends.empty() &&
         now - state.unexplained_ends.front() > kMassFailurePeriod)
    state.unexplained_ends.pop_front();
  return state.unexplained_ends.size();
}

// The first member of a gang counts for all of them.
TaskRef CountedTask(const TaskRef& ref) {
  return SpecOf(ref).gang ? TaskRef{ref.iteration, ref.step, 0} : ref;
}

std::vector<TaskRef> StartedTasks(const WorkerState& worker) {
  std::vector<TaskRef> started;
  for (const TaskRef& ref : worker.tasks) {
    if (HasStarted(TaskOf(ref)))
      started.push_back(ref);
  }
  return started;
}

// What the end of the worker says of each of the tasks.
std::vector<Suspect> FindSuspects(State& state,
                                  const WorkerState& worker,
                                  const std::vector<TaskRef>& tasks,
                                  TimePoint now) {
  if (worker.info.draining)
    return {};
  // A worker without runs shows that its end has another cause, too.
  size_t just_started = 0;
  uint32_t most_crashes = 0;
  for (const TaskRef& ref : tasks) {
    just_started += HasJustStarted(worker, TaskOf(ref)) ? 1 : 0;
    most_crashes =
        std::max(most_crashes, TaskOf(CountedTask(ref)).crashes.total);
  }
  const auto has_most_crashes = [most_crashes](const TaskRef& ref) {
    return TaskOf(CountedTask(ref)).crashes.total == most_crashes;
  };
  const bool one_has_most =
      std::count_if(tasks.begin(), tasks.end(), has_most_crashes) == 1;
  const bool all_known = std::all_of(
      tasks.begin(), tasks.end(),
      [](const TaskRef& ref) { return TaskOf(ref).started.has_value(); });
  if (just_started == 0 && all_known)
    state.unexplained_ends.push_back(now);
  const size_t unexplained_ends = CountUnexplainedEnds(state, now);
  const bool lone_end = !state.last_worker_end ||
                        now - *state.last_worker_end > kSimultaneousEndsPeriod;
  state.last_worker_end = now;
  std::vector<Suspect> suspects;
  for (const TaskRef& ref : tasks) {
    const bool blamed = HasJustStarted(worker, TaskOf(ref));
    suspects.push_back({NameOf(ref),
                        {.run = TaskOf(ref).run,
                         .start_time_ms = TaskOf(ref).worker_start_time_ms,
                         .is_confirmed = TaskOf(ref).started.has_value(),
                         .blamed = blamed,
                         .alone = blamed && just_started == 1,
                         .lone_end = lone_end,
                         .in_common = one_has_most && has_most_crashes(ref),
                         .unexplained_ends = unexplained_ends}});
  }
  return suspects;
}

uint32_t MaxBlamed(const StepSpec& spec, bool is_mass_failure) {
  if (is_mass_failure)
    return kMaxBlamedInMassFailure;
  return kMaxBlamed + (spec.long_running ? 1 : 0);
}

bool IsGuilty(const StepSpec& spec,
              const CrashCount& crashes,
              const CrashEvidence& last) {
  if (!spec.long_running && crashes.total >= kMaxCrashes &&
      crashes.blamed >= kMinBlamedAtLimit)
    return true;
  const uint32_t not_blamed = crashes.total - crashes.blamed;
  const bool is_mass_failure =
      last.unexplained_ends >= kUnexplainedEndsOfMassFailure;
  const uint32_t max_blamed = MaxBlamed(spec, is_mass_failure);
  const bool stands_out =
      last.alone || (last.in_common && not_blamed == 0 && !is_mass_failure);
  if (not_blamed <= kMaxNotBlamed &&
      (crashes.blamed >= kMaxCrashes ||
       (crashes.blamed >= max_blamed && stands_out)))
    return true;
  // One crash less suffices if nothing else can be the cause.
  if (last.alone && last.lone_end && last.unexplained_ends == 0 &&
      not_blamed == 0 && crashes.blamed + 1 >= max_blamed)
    return true;
  // Its own crashes are among the unexplained ones if they come late.
  return last.in_common && crashes.total >= kMaxCrashes &&
         last.unexplained_ends <= kUnexplainedEndsOfMassFailure;
}

std::string Describe(const CrashCount& crashes,
                     const CrashEvidence& last,
                     const WorkerId& worker,
                     std::string_view reason) {
  return "crashes=" + std::to_string(crashes.total) +
         " blamed=" + std::to_string(crashes.blamed) +
         " alone=" + std::to_string(static_cast<int>(last.alone)) +
         " unexplained_ends=" + std::to_string(last.unexplained_ends) +
         " of=" + worker.value() +
         " born=" + std::to_string(last.start_time_ms) +
         " run=" + std::to_string(last.run.value()) +
         " confirmed=" + std::to_string(static_cast<int>(last.is_confirmed)) +
         " reason=" + std::string(reason);
}

void CountCrash(State& state,
                const WorkerId& worker,
                const Suspect& suspect,
                std::string_view reason,
                TimePoint now) {
  const auto ref = FindTask(state, suspect.name);
  if (!ref || TaskOf(*ref).phase == SchedulingPhase::kDone ||
      ref->iteration->job->ended_at)
    return;
  const TaskRef counted = CountedTask(*ref);
  // The workers of several members may end at once.
  if (SpecOf(*ref).gang &&
      TaskOf(counted).last_crashed_run == suspect.evidence.run)
    return;
  TaskOf(counted).last_crashed_run = suspect.evidence.run;
  CrashCount crashes = TaskOf(counted).crashes;
  ++crashes.total;
  crashes.blamed += suspect.evidence.blamed ? 1 : 0;
  SetCrashes(state, counted, crashes);
  MarkDirty(state, *counted.iteration);
  const std::string detail =
      Describe(crashes, suspect.evidence, worker, reason);
  LogDecision(state, "worker_crashed", *ref, detail);
  if (!IsGuilty(SpecOf(*ref), crashes, suspect.evidence))
    return;
  ++state.counters.jobs_given_up;
  LogDecision(state, "job_failed", *ref, detail);
  EndJob(state, *ref->iteration->job, JobState::kFailed, now);
}

void CountCrashes(State& state,
                  int32_t worker,
                  const std::vector<Suspect>& suspects,
                  std::string_view reason,
                  TimePoint now) {
  if (suspects.empty())
    return;
  ++state.counters.worker_crashes;
  const WorkerId id = WorkerAt(state, worker).info.id;
  for (const Suspect& suspect : suspects)
    CountCrash(state, id, suspect, reason, now);
}

// Counts the end of a worker whose tasks were requeued when its lease expired.
void CountSilentEnd(State& state,
                    int32_t worker,
                    std::string_view reason,
                    TimePoint now) {
  std::vector<Suspect> suspects;
  for (const auto& [name, evidence] :
       std::exchange(WorkerAt(state, worker).silent_tasks, {}))
    suspects.push_back({name, evidence});
  CountCrashes(state, worker, suspects, reason, now);
}

}  // namespace

void HandleEndedInstance(State& state,
                         int32_t worker,
                         std::string_view reason,
                         TimePoint now) {
  CountSilentEnd(state, worker, reason, now);
  const std::vector<Suspect> suspects =
      FindSuspects(state, WorkerAt(state, worker),
                   StartedTasks(WorkerAt(state, worker)), now);
  RequeueAllTasks(state, worker, reason, now);
  WorkerAt(state, worker).instance.reset();
  WorkerAt(state, worker).health = WorkerHealth{};
  CountCrashes(state, worker, suspects, reason, now);
}

void HandleTasksOfEarlierInstance(State& state,
                                  int32_t worker,
                                  int64_t start_time_ms,
                                  TimePoint now) {
  constexpr std::string_view reason = "worker restarted";
  std::vector<TaskRef> tasks;
  for (const TaskRef& ref : WorkerAt(state, worker).tasks) {
    if (TaskOf(ref).worker_start_time_ms != 0 && start_time_ms != 0 &&
        TaskOf(ref).worker_start_time_ms != start_time_ms)
      tasks.push_back(ref);
  }
  if (tasks.empty())
    return;
  const std::vector<Suspect> suspects =
      FindSuspects(state, WorkerAt(state, worker), tasks, now);
  for (const TaskRef& ref : tasks) {
    ++state.counters.lost;
    LogDecision(state, "run_lost", ref, std::string(reason));
    RequeueTask(state, ref, now);
  }
  CountCrashes(state, worker, suspects, reason, now);
}

void HandleExpiredLease(State& state, int32_t worker, TimePoint now) {
  constexpr std::string_view reason = "lease expired";
  const std::vector<Suspect> suspects =
      FindSuspects(state, WorkerAt(state, worker),
                   StartedTasks(WorkerAt(state, worker)), now);
  RequeueAllTasks(state, worker, reason, now);
  if (!WorkerAt(state, worker).listed) {
    CountCrashes(state, worker, suspects, reason, now);
    return;
  }
  for (const Suspect& suspect : suspects)
    WorkerAt(state, worker).silent_tasks[suspect.name] = suspect.evidence;
}

void HandleRemovedWorker(State& state, int32_t worker, TimePoint now) {
  CountSilentEnd(state, worker, "removed by the platform", now);
}

void HandleSurvivedPartition(State& state, int32_t worker) {
  WorkerAt(state, worker).silent_tasks.clear();
}

void ClearSurvivors(State& state, int32_t worker, TimePoint now) {
  for (const TaskRef& ref : WorkerAt(state, worker).tasks) {
    const Task& task = TaskOf(ref);
    if (IsSuspect(task) && task.phase == SchedulingPhase::kRunning &&
        task.visible_from && now - *task.visible_from >= kSurvivalTime)
      ClearSuspicion(state, ref);
  }
}

void ClearSuspicion(State& state, const TaskRef& ref) {
  const TaskRef counted = CountedTask(ref);
  if (!IsSuspect(TaskOf(counted)))
    return;
  SetCrashes(state, counted, CrashCount{});
  MarkDirty(state, *counted.iteration);
}

bool IsSuspect(const Task& task) {
  return task.crashes.total > 0;
}

double IsolationPenalty(const WorkerState& worker, const Task& task) {
  double penalty = worker.suspects * kPenaltyBesideSuspect;
  if (IsSuspect(task))
    penalty += static_cast<double>(worker.tasks.size()) * kPenaltyPerNeighbour;
  return penalty;
}

}  // namespace cowslipmast::sched
