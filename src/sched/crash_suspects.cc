#include "src/sched/crash_suspects.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "src/sched/assignment.h"
#include "src/sched/crash_proof.h"
#include "src/sched/jobs.h"
#include "src/sched/silent_ends.h"
#include "src/sched/workers.h"

namespace cowslipmast::sched {

namespace {

using std::chrono::seconds;

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
// One crash may be an accident.
constexpr uint32_t kMinProvenCrashes = 2;
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

size_t CountUnexplainedEnds(State& state, TimePoint now) {
  while (!state.unexplained_ends.empty() &&
         now - state.unexplained_ends.front() > kMassFailurePeriod)
    state.unexplained_ends.pop_front();
  return state.unexplained_ends.size();
}

std::vector<TaskRef> StartedTasks(const WorkerState& worker) {
  std::vector<TaskRef> started;
  for (const TaskRef& ref : worker.tasks) {
    if (HasStarted(TaskOf(ref)))
      started.push_back(ref);
  }
  return started;
}

RunOnInstance DescribeRun(const WorkerState& worker,
                          const Task& task,
                          TimePoint now) {
  return {.run = task.run,
          .start_time_ms = task.worker_start_time_ms,
          .is_confirmed = task.is_confirmed,
          .is_stopping = task.phase == SchedulingPhase::kStopping,
          .lease_expired = now >= worker.lease_expiry,
          .had_just_started = HasJustStarted(worker, task),
          .is_unseen = !task.started && !task.last_progress};
}

// What the end of the worker says of each of the tasks.
std::vector<Suspect> FindSuspects(State& state,
                                  const WorkerState& worker,
                                  const std::vector<TaskRef>& tasks,
                                  TimePoint now) {
  if (HasAnnouncedLeaving(worker, CurrentInstance(worker).start_time_ms))
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
    const RunOnInstance run = DescribeRun(worker, TaskOf(ref), now);
    const bool blamed = run.had_just_started;
    suspects.push_back({NameOf(ref),
                        {.run = run,
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
  if (crashes.proven < kMinProvenCrashes)
    return false;
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
         " proven=" + std::to_string(crashes.proven) +
         " blamed=" + std::to_string(crashes.blamed) +
         " alone=" + std::to_string(static_cast<int>(last.alone)) +
         " unexplained_ends=" + std::to_string(last.unexplained_ends) +
         " of=" + worker.value() +
         " born=" + std::to_string(last.run.start_time_ms) +
         " run=" + std::to_string(last.run.run.value()) + " confirmed=" +
         std::to_string(static_cast<int>(last.run.is_confirmed)) +
         " reason=" + std::string(reason);
}

void GiveUp(State& state,
            const TaskRef& ref,
            const std::string& detail,
            TimePoint now) {
  ++state.counters.jobs_given_up;
  LogDecision(state, "job_failed", ref, detail);
  EndJob(state, *ref.iteration->job, JobState::kFailed, now);
}

// Fails the job if the ends so far, with two proven crashes or more among them,
// show that the task crashes its workers.
void EndGuiltyJob(State& state,
                  const TaskRef& ref,
                  const CrashEvidence& last,
                  const std::string& detail,
                  TimePoint now) {
  if (!IsGuilty(SpecOf(ref), TaskOf(CountedTask(ref)).crashes, last))
    return;
  GiveUp(state, ref, detail, now);
}

void CountEnd(State& state,
              const InstanceEndProof& end,
              const Suspect& suspect,
              std::string_view reason,
              TimePoint now) {
  const auto ref = FindTask(state, suspect.name);
  if (!ref || TaskOf(*ref).phase == SchedulingPhase::kDone ||
      ref->iteration->job->ended_at)
    return;
  const TaskRef counted = CountedTask(*ref);
  const RunNumber run = suspect.evidence.run.run;
  // The workers of several members of a gang may end at once, and an end may
  // become known only after a later run has cleared the task.
  if (TaskOf(counted).last_crashed_run == run ||
      run <= TaskOf(counted).cleared_run)
    return;
  TaskOf(counted).last_crashed_run = run;
  const auto crash = CrashProof::Make(end, suspect.evidence.run);
  CrashCount crashes = TaskOf(counted).crashes;
  ++crashes.total;
  crashes.proven += crash ? 1 : 0;
  crashes.blamed += crash && suspect.evidence.blamed ? 1 : 0;
  SetCrashes(state, counted, crashes);
  MarkDirty(state, *counted.iteration);
  const std::string detail =
      Describe(crashes, suspect.evidence, end.ended().id, reason);
  LogDecision(state, crash ? "worker_crashed" : "crash_not_proven", *ref,
              detail);
  EndGuiltyJob(state, *ref, suspect.evidence, detail, now);
}

// To be called when something else answers in place of the instances of the
// suspects.
void CountEnds(State& state,
               int32_t worker,
               const std::vector<Suspect>& suspects,
               std::string_view reason,
               TimePoint now) {
  bool is_counted = false;
  for (const Suspect& suspect : suspects) {
    const auto end = InstanceEndProof::Make(WorkerAt(state, worker),
                                            suspect.evidence.run.start_time_ms);
    if (!end)
      continue;
    is_counted = true;
    CountEnd(state, *end, suspect, reason, now);
  }
  state.counters.worker_crashes += is_counted ? 1 : 0;
}

// Counts the ends of instances whose tasks were requeued when their leases
// expired.
void CountSilentEnds(State& state,
                     int32_t worker,
                     std::string_view reason,
                     TimePoint now) {
  EndWaitForProofs(state, worker);
  std::vector<Suspect> suspects;
  for (const auto& [name, evidence] :
       std::exchange(WorkerAt(state, worker).silent_tasks, {}))
    suspects.push_back({name, evidence});
  CountEnds(state, worker, suspects, reason, now);
}

}  // namespace

void HandleEndedInstance(State& state,
                         int32_t worker,
                         std::string_view reason,
                         TimePoint now) {
  CountSilentEnds(state, worker, reason, now);
  const std::vector<Suspect> suspects =
      FindSuspects(state, WorkerAt(state, worker),
                   StartedTasks(WorkerAt(state, worker)), now);
  RequeueAllTasks(state, worker, reason, now);
  WorkerAt(state, worker).instance.reset();
  WorkerAt(state, worker).health = WorkerHealth{};
  CountEnds(state, worker, suspects, reason, now);
}

void HandleTasksOfEarlierInstance(State& state,
                                  int32_t worker,
                                  int64_t start_time_ms,
                                  TimePoint now) {
  constexpr std::string_view reason = "worker restarted";
  std::vector<TaskRef> tasks;
  for (const TaskRef& ref : WorkerAt(state, worker).tasks) {
    if (!MayBeSameInstance(TaskOf(ref).worker_start_time_ms, start_time_ms))
      tasks.push_back(ref);
  }
  if (tasks.empty())
    return;
  const std::vector<Suspect> suspects =
      FindSuspects(state, WorkerAt(state, worker), tasks, now);
  for (const TaskRef& ref : tasks)
    RequeueLostTask(state, ref, reason, now);
  CountEnds(state, worker, suspects, reason, now);
}

void HandleExpiredLease(State& state, int32_t worker, TimePoint now) {
  const std::vector<Suspect> suspects =
      FindSuspects(state, WorkerAt(state, worker),
                   StartedTasks(WorkerAt(state, worker)), now);
  RequeueAllTasks(state, worker, "lease expired", now);
  for (const Suspect& suspect : suspects) {
    KeepSilentEnd(state, worker, suspect.name, suspect.evidence);
    AwaitProof(state, worker, suspect.name, now);
  }
}

void ResolveSilentEnds(State& state,
                       int32_t worker,
                       int64_t start_time_ms,
                       TimePoint now) {
  EndWaitForProofs(state, worker);
  auto& silent = WorkerAt(state, worker).silent_tasks;
  std::erase_if(silent, [start_time_ms](const auto& entry) {
    return MayBeSameInstance(entry.second.run.start_time_ms, start_time_ms);
  });
  CountSilentEnds(state, worker, "worker restarted", now);
}

void ClearSurvivors(State& state, int32_t worker, TimePoint now) {
  for (const TaskRef& ref : WorkerAt(state, worker).tasks) {
    const Task& task = TaskOf(ref);
    if (task.phase == SchedulingPhase::kRunning && task.visible_from &&
        now - *task.visible_from >= kSurvivalTime)
      ClearSuspicion(state, ref);
  }
}

void ClearSuspicion(State& state, const TaskRef& ref) {
  const TaskRef counted = CountedTask(ref);
  TaskOf(counted).cleared_run = TaskOf(ref).run;
  ForgetSilentEnds(state, counted);
  if (!IsSuspect(TaskOf(counted)))
    return;
  SetCrashes(state, counted, CrashCount{});
  MarkDirty(state, *counted.iteration);
}

void ConfirmStart(State& state, const TaskRef& ref) {
  if (TaskOf(ref).is_confirmed)
    return;
  TaskOf(ref).is_confirmed = true;
  TaskOf(ref).has_run = true;
  if (!IsSuspect(TaskOf(CountedTask(ref))))
    return;
  // A later owner may be the one that learns of the next crash.
  MarkDirty(state, *ref.iteration);
  state.needs_plan = true;
}

void HandleEntry(State& state, int32_t worker) {
  if (!NoteLeavingInstance(WorkerAt(state, worker)))
    return;
  for (const TaskRef& ref : WorkerAt(state, worker).tasks) {
    if (IsSuspect(TaskOf(CountedTask(ref))) ||
        TaskOf(ref).is_silent_since_start)
      MarkDirty(state, *ref.iteration);
  }
  for (const auto& [name, evidence] : WorkerAt(state, worker).silent_tasks) {
    const auto ref = FindTask(state, name);
    if (ref && !TaskOf(*ref).silent_workers.empty() &&
        !ref->iteration->job->ended_at)
      MarkDirty(state, *ref->iteration);
  }
}

void EndWaitForLateProofs(State& state, TimePoint now) {
  for (WorkerState& worker : state.workers) {
    if (worker.proof_awaited_until && now >= *worker.proof_awaited_until)
      worker.proof_awaited_until.reset();
  }
  std::vector<TaskName> late;
  for (const auto& [name, awaited] : state.awaited_proofs) {
    if (std::any_of(awaited.begin(), awaited.end(),
                    [now](const auto& entry) { return now >= entry.second; }))
      late.push_back(name);
  }
  for (const TaskName& name : late) {
    const auto ref = FindTask(state, name);
    if (ref && IsHeldBack(state, *ref) &&
        TaskOf(CountedTask(*ref)).crashes.proven >= kMinProvenCrashes)
      GiveUp(
          state, *ref,
          "proven=" + std::to_string(TaskOf(CountedTask(*ref)).crashes.proven) +
              " reason=no worker answers after its start",
          now);
    // A later owner does not wait again.
    if (ref && !ref->iteration->job->ended_at)
      MarkDirty(state, *ref->iteration);
    auto& awaited = state.awaited_proofs.at(name);
    std::erase_if(awaited,
                  [now](const auto& entry) { return now >= entry.second; });
    if (awaited.empty())
      state.awaited_proofs.erase(name);
  }
}

bool IsHeldBack(const State& state, const TaskRef& ref) {
  const TaskRef counted = CountedTask(ref);
  const CrashCount& crashes = TaskOf(counted).crashes;
  if (ref.iteration->job->ended_at)
    return false;
  const auto awaited = state.awaited_proofs.find(NameOf(counted));
  return awaited != state.awaited_proofs.end() &&
         crashes.total + awaited->second.size() >= kMaxCrashes;
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
