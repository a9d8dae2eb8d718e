#include "src/sched/silent_ends.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string>

#include "src/sched/crash_proof.h"
#include "src/sched/jobs.h"
#include "src/sched/workers.h"

namespace cowslipmast::sched {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

// A crash is blamed on a run that started at most this long before the worker's
// last sign of life, or after it.
constexpr Duration kMaxAgeToBlame = milliseconds(200);
// A worker that has crashed is back within some seconds. Until then its address
// is asked, although the platform has removed its entry.
constexpr Duration kMaxWaitForProof = seconds(20);
// A task is held back before it has more.
constexpr size_t kMaxSilentEndsOfTask = 5;
// Keeps the record of a job that loses all workers of its many tasks far below
// the size that the store refuses.
constexpr size_t kMaxStoredSilentEnds = 256;

// Bits in stored records; they must not change.
constexpr uint32_t kConfirmedBit = 1;
constexpr uint32_t kJustStartedBit = 2;
constexpr uint32_t kUnseenBit = 4;
constexpr uint32_t kBlamedBit = 8;
constexpr uint32_t kAloneBit = 16;
constexpr uint32_t kLoneEndBit = 32;
constexpr uint32_t kInCommonBit = 64;
constexpr uint32_t kWaitOverBit = 128;

uint32_t Bit(bool is_set, uint32_t bit) {
  return is_set ? bit : 0;
}

uint32_t EncodeFlags(const CrashEvidence& evidence) {
  return Bit(evidence.run.is_confirmed, kConfirmedBit) |
         Bit(evidence.run.had_just_started, kJustStartedBit) |
         Bit(evidence.run.is_unseen, kUnseenBit) |
         Bit(evidence.blamed, kBlamedBit) | Bit(evidence.alone, kAloneBit) |
         Bit(evidence.lone_end, kLoneEndBit) |
         Bit(evidence.in_common, kInCommonBit);
}

struct StoredEnd {
  uint32_t step = 0;
  uint32_t index = 0;
  WorkerId worker;
  CrashEvidence evidence;
  /** No answer came in time; a later one is still judged. */
  bool is_wait_over = false;
};

json Encode(const StoredEnd& end) {
  return {end.step,
          end.index,
          end.evidence.run.run.value(),
          end.worker.value(),
          end.evidence.run.start_time_ms,
          EncodeFlags(end.evidence) | Bit(end.is_wait_over, kWaitOverBit),
          end.evidence.unexplained_ends};
}

StoredEnd Decode(const json& stored) {
  const auto flags = stored.at(5).get<uint32_t>();
  const auto is_set = [flags](uint32_t bit) { return (flags & bit) != 0; };
  StoredEnd end;
  end.step = stored.at(0).get<uint32_t>();
  end.index = stored.at(1).get<uint32_t>();
  end.worker = WorkerId(stored.at(3).get<std::string>());
  end.evidence = {.run = {.run = RunNumber(stored.at(2).get<uint64_t>()),
                          .start_time_ms = stored.at(4).get<int64_t>(),
                          .is_confirmed = is_set(kConfirmedBit),
                          .is_stopping = false,
                          .lease_expired = true,
                          .had_just_started = is_set(kJustStartedBit),
                          .is_unseen = is_set(kUnseenBit)},
                  .blamed = is_set(kBlamedBit),
                  .alone = is_set(kAloneBit),
                  .lone_end = is_set(kLoneEndBit),
                  .in_common = is_set(kInCommonBit),
                  .unexplained_ends = stored.at(6).get<size_t>()};
  end.is_wait_over = is_set(kWaitOverBit);
  return end;
}

// The end of an instance that leaves as planned proves nothing.
bool IsWorthKeeping(const WorkerState& worker,
                    const Task& counted,
                    const RunOnInstance& run) {
  return run.run > counted.cleared_run &&
         !HasAnnouncedLeaving(worker, run.start_time_ms);
}

bool IsAwaited(const State& state, const TaskRef& counted, RunNumber run) {
  const auto found = state.awaited_proofs.find(NameOf(counted));
  return found != state.awaited_proofs.end() && found->second.count(run) > 0;
}

// The run that a silent worker has, while its lease lasts.
void EncodePlacedRun(const State& state, const TaskRef& ref, json& ends) {
  const Task& task = ReadTask(ref);
  if (task.worker == kNoWorker || !task.is_silent_since_start)
    return;
  const WorkerState& worker = state.workers[static_cast<size_t>(task.worker)];
  const RunOnInstance run{.run = task.run,
                          .start_time_ms = task.worker_start_time_ms,
                          .is_confirmed = task.is_confirmed,
                          .had_just_started = true};
  if (IsWorthKeeping(worker, TaskOf(CountedTask(ref)), run))
    ends.push_back(Encode({.step = ref.step,
                           .index = ref.index,
                           .worker = worker.info.id,
                           .evidence = {.run = run}}));
}

void EncodeLapsedRuns(const State& state, const TaskRef& ref, json& ends) {
  for (const int32_t index : TaskOf(ref).silent_workers) {
    const WorkerState& worker = state.workers[static_cast<size_t>(index)];
    const auto found = worker.silent_tasks.find(NameOf(ref));
    const TaskRef counted = CountedTask(ref);
    if (found == worker.silent_tasks.end() ||
        !IsWorthKeeping(worker, TaskOf(counted), found->second.run))
      continue;
    ends.push_back(Encode(
        {.step = ref.step,
         .index = ref.index,
         .worker = worker.info.id,
         .evidence = found->second,
         .is_wait_over = !IsAwaited(state, counted, found->second.run.run)}));
  }
}

void ApplySilentEnd(State& state, const TaskRef& ref, const StoredEnd& end) {
  Task& task = TaskOf(ref);
  const int32_t worker = GetOrCreateWorkerIndex(state, end.worker);
  const RunOnInstance& run = end.evidence.run;
  if (task.worker != worker || task.run != run.run) {
    KeepSilentEnd(state, worker, NameOf(ref), end.evidence);
    if (!end.is_wait_over)
      AwaitProof(state, worker, NameOf(ref), state.claimed_at);
    return;
  }
  task.is_silent_since_start = true;
  task.is_confirmed = run.is_confirmed;
}

}  // namespace

TaskRef CountedTask(const TaskRef& ref) {
  return SpecOf(ref).gang ? TaskRef{ref.iteration, ref.step, 0} : ref;
}

bool HasJustStarted(const WorkerState& worker, const Task& task) {
  if (task.is_silent_since_start)
    return true;
  return task.started && worker.instance &&
         *task.started + kMaxAgeToBlame >= worker.instance->clock_received_at;
}

bool MayHaveEndedAtStart(const RunOnInstance& run) {
  return !run.is_stopping && (run.had_just_started || run.is_unseen);
}

void NoteSilence(State& state, int32_t worker) {
  const WorkerState& silent = state.workers[static_cast<size_t>(worker)];
  for (const TaskRef& ref : silent.tasks) {
    Task& task = TaskOf(ref);
    if (task.phase != SchedulingPhase::kRunning || task.is_silent_since_start ||
        !HasJustStarted(silent, task))
      continue;
    task.is_silent_since_start = true;
    MarkDirty(state, *ref.iteration);
  }
}

void EndSilence(State& state, const TaskRef& ref) {
  if (!TaskOf(ref).is_silent_since_start)
    return;
  TaskOf(ref).is_silent_since_start = false;
  MarkDirty(state, *ref.iteration);
}

void KeepSilentEnd(State& state,
                   int32_t worker,
                   const TaskName& name,
                   const CrashEvidence& evidence) {
  state.workers[static_cast<size_t>(worker)].silent_tasks[name] = evidence;
  const auto ref = FindTask(state, name);
  if (!MayHaveEndedAtStart(evidence.run) || !ref ||
      ref->iteration->job->ended_at)
    return;
  std::vector<int32_t>& workers = TaskOf(*ref).silent_workers;
  std::erase(workers, worker);
  if (workers.size() >= kMaxSilentEndsOfTask)
    workers.erase(workers.begin());
  workers.push_back(worker);
}

void AwaitProof(State& state,
                int32_t worker,
                const TaskName& name,
                TimePoint now) {
  WorkerState& silent = state.workers[static_cast<size_t>(worker)];
  const RunOnInstance& run = silent.silent_tasks.at(name).run;
  if (!MayHaveEndedAtStart(run))
    return;
  const TimePoint until = now + kMaxWaitForProof;
  silent.proof_awaited_until = until;
  const auto ref = FindTask(state, name);
  if (ref && !ref->iteration->job->ended_at)
    state.awaited_proofs[NameOf(CountedTask(*ref))][run.run] = until;
}

void EndWaitForProofs(State& state, int32_t worker) {
  WorkerState& answering = state.workers[static_cast<size_t>(worker)];
  answering.proof_awaited_until.reset();
  for (const auto& [name, evidence] : answering.silent_tasks) {
    const auto ref = FindTask(state, name);
    if (ref && std::erase(TaskOf(*ref).silent_workers, worker) > 0 &&
        !ref->iteration->job->ended_at)
      MarkDirty(state, *ref->iteration);
    const TaskName counted = ref ? NameOf(CountedTask(*ref)) : name;
    const auto awaited = state.awaited_proofs.find(counted);
    if (awaited == state.awaited_proofs.end())
      continue;
    awaited->second.erase(evidence.run.run);
    if (awaited->second.empty())
      state.awaited_proofs.erase(awaited);
  }
}

void ForgetSilentEnds(State& state, const TaskRef& ref) {
  if (TaskOf(ref).silent_workers.empty())
    return;
  TaskOf(ref).silent_workers.clear();
  MarkDirty(state, *ref.iteration);
}

json EncodeSilentEnds(const State& state, const Iteration& iteration) {
  json ends = json::array();
  Iteration* own = iteration.job->iterations.at(iteration.number).get();
  for (uint32_t step = 0; step < iteration.steps.size(); ++step) {
    iteration.steps[step].tasks.VisitOwn([&](uint32_t index) {
      const TaskRef ref{own, step, index};
      if (ends.size() >= kMaxStoredSilentEnds ||
          ReadTask(ref).phase == SchedulingPhase::kDone)
        return;
      EncodePlacedRun(state, ref, ends);
      EncodeLapsedRuns(state, ref, ends);
    });
  }
  return ends;
}

void ApplySilentEnds(State& state, Iteration& iteration, const json& stored) {
  for (const json& entry : stored) {
    const StoredEnd end = Decode(entry);
    if (!HasTask(iteration, end.step, end.index))
      continue;
    const TaskRef ref{&iteration, end.step, end.index};
    if (TaskOf(ref).phase != SchedulingPhase::kDone)
      ApplySilentEnd(state, ref, end);
  }
}

}  // namespace cowslipmast::sched
