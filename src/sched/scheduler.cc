#include "cowslipmast/sched/scheduler.h"

#include <algorithm>
#include <utility>

#include "src/sched/dump.h"
#include "src/sched/jobs.h"
#include "src/sched/lease.h"
#include "src/sched/listing.h"
#include "src/sched/pacing.h"
#include "src/sched/placing.h"
#include "src/sched/pressure_codec.h"
#include "src/sched/progress.h"
#include "src/sched/residence.h"
#include "src/sched/workers.h"

namespace cowslipmast::sched {

namespace {

// A stop whose reply was lost is sent again after this; calls to workers take
// up to 50 ms between regions.
constexpr Duration kRepeatStop = std::chrono::milliseconds(700);
// After a refusal for want of room the next listing tells what ended.
constexpr Duration kFullFor = std::chrono::milliseconds(250);
// Learned pressures are stored this often, along with progress. They take about
// 4 kB, and settle within some seconds.
constexpr Duration kStorePressures = std::chrono::seconds(3);
// Lines kept between two calls of TakeDecisions.
constexpr size_t kMaxDecisions = 4096;

std::optional<TaskRef> FindRun(const State& state,
                               const WorkerId& worker,
                               const TaskName& name,
                               RunNumber run) {
  const auto ref = FindTask(state, name);
  if (!ref || TaskOf(*ref).run != run ||
      TaskOf(*ref).worker != FindWorker(state, worker) ||
      TaskOf(*ref).worker == kNowhere)
    return std::nullopt;
  return ref;
}

void PlanStops(State& state, TimePoint now, Plan& plan) {
  plan.stops = std::move(state.stops);
  state.stops.clear();
  for (const Worker& worker : state.workers) {
    if (worker.contact == Contact::kUnseen)
      continue;
    for (const TaskRef& ref : worker.tasks) {
      Task& task = TaskOf(ref);
      if (task.phase != TaskPhase::kStopping || task.visible_from ||
          (task.stop_sent && now - *task.stop_sent < kRepeatStop))
        continue;
      task.stop_sent = now;
      ++state.counters.stops;
      plan.stops.push_back({worker.info.id, NameOf(ref), task.run});
    }
  }
}

void EncodeDirty(State& state, Plan& plan) {
  for (Iteration* iteration : state.dirty) {
    iteration->dirty = false;
    plan.records.push_back(EncodeProgress(state, *iteration));
    state.to_show.push_back(iteration->job->spec.id);
  }
  state.dirty.clear();
}

// Adds learned pressures to an append that is due anyway.
void EncodeLearned(State& state, TimePoint now, Plan& plan) {
  const bool is_due = !state.pressure_stored_at ||
                      now - *state.pressure_stored_at >= kStorePressures;
  if (plan.records.empty() || !is_due)
    return;
  state.pressure_stored_at = now;
  plan.records.push_back({std::string(kPressureKey), EncodePressures(state)});
}

void RestoreJob(State& state, Job& job, TimePoint now) {
  const JobSpec& spec = job.spec;
  if (job.iterations_done >= IterationCount(spec))
    job.state = JobState::kCompleted;
  if (job.state != JobState::kFailed && job.state != JobState::kCancelled &&
      job.state != JobState::kCompleted) {
    if (job.has_started)
      job.state = JobState::kActive;
    job.shown = job.state;
    for (auto& [number, iteration] : job.iterations)
      UnblockSteps(state, *iteration, now);
    return;
  }
  const JobState end = job.state;
  job.state = JobState::kActive;
  EndJob(state, job, end, now);
  job.shown = end;
}

}  // namespace

std::optional<TaskRef> FindTask(const State& state, const TaskName& name) {
  const auto job = state.jobs.find(name.job);
  if (job == state.jobs.end())
    return std::nullopt;
  const auto iteration = job->second->iterations.find(name.iteration);
  if (iteration == job->second->iterations.end() ||
      name.step >= iteration->second->steps.size() ||
      name.index >= iteration->second->steps[name.step].tasks.size())
    return std::nullopt;
  return TaskRef{iteration->second.get(), name.step, name.index};
}

void Note(State& state,
          std::string_view what,
          const TaskRef& ref,
          std::string detail) {
  if (state.decisions.size() >= kMaxDecisions)
    return;
  const Task& task = TaskOf(ref);
  WorkerId worker;
  if (task.worker != kNowhere)
    worker = state.workers[static_cast<size_t>(task.worker)].info.id;
  state.decisions.push_back(
      Decision{what, NameOf(ref), task.run, worker, std::move(detail)});
}

struct Scheduler::Impl {
  State state;
};

Scheduler::Scheduler(std::unique_ptr<Impl> impl) : m_impl(std::move(impl)) {}
Scheduler::~Scheduler() = default;

std::unique_ptr<Scheduler> Scheduler::Make(const SchedulerOptions& options,
                                           TimePoint claimed) {
  auto impl = std::make_unique<Impl>();
  impl->state.options = options;
  impl->state.claimed = claimed;
  return std::unique_ptr<Scheduler>(new Scheduler(std::move(impl)));
}

bool Scheduler::RestoreProgress(const ProgressRecord& record) {
  State& state = m_impl->state;
  const bool applied = record.key == kPressureKey
                           ? ApplyPressures(state, record.value)
                           : ApplyProgress(state, record);
  if (!applied)
    ++state.counters.bad_records;
  return applied;
}

void Scheduler::FinishRestore(TimePoint now) {
  State& state = m_impl->state;
  state.restored = true;
  for (auto& [id, job] : state.jobs) {
    if (!job->ended_at)
      RestoreJob(state, *job, now);
  }
  state.changed = true;
}

void Scheduler::SetPolicy(const Policy& policy, TimePoint) {
  State& state = m_impl->state;
  Policy next = policy;
  // Accepted jobs of a queue that was removed run under its last policy.
  for (const auto& [queue, old] : state.policy.queues)
    next.queues.emplace(queue, old);
  state.policy = std::move(next);
  state.changed = true;
}

void Scheduler::AddJob(const JobSpec& spec, TimePoint now, WallTime wall) {
  State& state = m_impl->state;
  std::unique_ptr<Job>& slot = state.jobs[spec.id];
  if (slot)
    return;
  slot = std::make_unique<Job>();
  Job& job = *slot;
  job.spec = spec;
  job.sequence = state.next_sequence++;
  job.arrived = now - std::max(Duration(0), wall - spec.accepted);
  if (spec.iterations > 0) {
    state.timed.emplace(spec.first_due, &job);
  } else {
    Iteration& iteration = IterationOf(state, job, 0, job.arrived);
    job.next_iteration = 1;
    if (state.restored)
      UnblockSteps(state, iteration, now);
  }
  state.changed = true;
  if (state.cancelled_early.erase(spec.id) > 0)
    CancelJob(spec.id, now);
}

void Scheduler::CancelJob(const JobId& id, TimePoint now) {
  State& state = m_impl->state;
  const auto found = state.jobs.find(id);
  if (found == state.jobs.end()) {
    state.cancelled_early.insert(id);
    return;
  }
  if (state.restored)
    EndJob(state, *found->second, JobState::kCancelled, now);
  else if (found->second->state != JobState::kCompleted)
    found->second->state = JobState::kCancelled;
}

void Scheduler::UpsertWorker(const WorkerInfo& info, TimePoint) {
  State& state = m_impl->state;
  Worker& worker =
      state.workers[static_cast<size_t>(WorkerIndex(state, info.id))];
  worker.info = info;
  worker.listed = true;
  state.changed = true;
}

void Scheduler::RemoveWorker(const WorkerId& id, TimePoint) {
  Worker* worker = LookUpWorker(m_impl->state, id);
  if (worker == nullptr)
    return;
  worker->listed = false;
  m_impl->state.changed = true;
}

void Scheduler::OnListing(const WorkerId& id,
                          const WorkerListing& listing,
                          TimePoint asked,
                          TimePoint now) {
  const int32_t worker = FindWorker(m_impl->state, id);
  if (worker == kNowhere)
    return;
  ApplyListing(m_impl->state, worker, listing, asked, now);
  PaceFillingTasks(m_impl->state, worker);
}

void Scheduler::OnSilence(const WorkerId& id, TimePoint) {
  Worker* worker = LookUpWorker(m_impl->state, id);
  if (worker != nullptr && worker->contact == Contact::kInTouch)
    worker->contact = Contact::kSilent;
}

void Scheduler::OnWorkerDead(const WorkerId& id, TimePoint now) {
  State& state = m_impl->state;
  const int32_t index = FindWorker(state, id);
  if (index == kNowhere)
    return;
  state.workers[static_cast<size_t>(index)].contact = Contact::kSilent;
  state.workers[static_cast<size_t>(index)].lease_over = now;
  ReturnAllTasks(state, index, "another life of the worker", now);
}

void Scheduler::OnStarted(const StartCommand& command, TimePoint now) {
  State& state = m_impl->state;
  ++state.counters.starts;
  const auto ref = FindRun(state, command.worker, command.task, command.run);
  if (!ref || TaskOf(*ref).phase != TaskPhase::kPlanned)
    return;
  Task& task = TaskOf(*ref);
  task.phase = TaskPhase::kRunning;
  task.visible_from = now;
  task.progressed = now;
}

void Scheduler::OnStartSkipped(const StartCommand& command, TimePoint now) {
  State& state = m_impl->state;
  const auto ref = FindRun(state, command.worker, command.task, command.run);
  if (!ref)
    return;
  Note(state, "start_skipped", *ref);
  ReturnTask(state, *ref, now);
}

void Scheduler::OnStartRefused(const StartCommand& command,
                               StartRefusal refusal,
                               TimePoint now) {
  State& state = m_impl->state;
  const auto ref = FindRun(state, command.worker, command.task, command.run);
  if (!ref)
    return;
  Note(state, "start_refused", *ref, std::string(StartRefusalName(refusal)));
  Worker& worker = state.workers[static_cast<size_t>(TaskOf(*ref).worker)];
  if (refusal == StartRefusal::kOldRun) {
    // It ran there already: the next listing tells how it went.
    if (TaskOf(*ref).phase == TaskPhase::kPlanned)
      TaskOf(*ref).phase = TaskPhase::kRunning;
    TaskOf(*ref).visible_from = now;
    return;
  }
  if (refusal == StartRefusal::kNoRoom)
    ++state.counters.no_room;
  if (refusal == StartRefusal::kNoRoom || refusal == StartRefusal::kUnhealthy)
    worker.full_until = now + kFullFor;
  ReturnTask(state, *ref, now);
}

void Scheduler::OnStartUnknown(const StartCommand& command, TimePoint now) {
  State& state = m_impl->state;
  const auto ref = FindRun(state, command.worker, command.task, command.run);
  if (!ref || TaskOf(*ref).phase != TaskPhase::kPlanned)
    return;
  Note(state, "start_unknown", *ref);
  TaskOf(*ref).phase = TaskPhase::kUncertain;
  TaskOf(*ref).visible_from = now;
}

void Scheduler::OnStopped(const StopCommand& command, TimePoint now) {
  const auto ref =
      FindRun(m_impl->state, command.worker, command.task, command.run);
  if (!ref || TaskOf(*ref).phase != TaskPhase::kStopping)
    return;
  TaskOf(*ref).visible_from = now;
}

void Scheduler::OnPaceUnknown(const PaceCommand& command) {
  const auto ref =
      FindRun(m_impl->state, command.worker, command.task, command.run);
  if (!ref)
    return;
  TaskOf(*ref).pace = kPaceUnknown;
  m_impl->state.changed = true;
}

std::optional<WorkerClock> Scheduler::LeaseEnd(const WorkerId& id,
                                               TimePoint now) {
  Worker* worker = LookUpWorker(m_impl->state, id);
  // A call to a silent worker may arrive all the same: if it carried a lease
  // end, the time when the worker's tasks are over would move on for ever.
  if (worker == nullptr || worker->contact == Contact::kSilent)
    return std::nullopt;
  return ExtendLease(m_impl->state.options, *worker, now);
}

uint64_t Scheduler::AcknowledgedEnds(const WorkerId& id) const {
  const Worker* worker = LookUpWorker(m_impl->state, id);
  return worker == nullptr ? 0 : worker->ends_stored;
}

bool Scheduler::IsStillWanted(const StartCommand& command) const {
  const State& state = m_impl->state;
  const auto ref = FindRun(state, command.worker, command.task, command.run);
  if (!ref || TaskOf(*ref).phase != TaskPhase::kPlanned ||
      ref->iteration->job->ended_at)
    return false;
  const Worker& worker =
      state.workers[static_cast<size_t>(TaskOf(*ref).worker)];
  return !worker.info.draining && worker.contact == Contact::kInTouch &&
         state.policy.evacuated.count(worker.info.data_centre) == 0;
}

Plan Scheduler::MakePlan(TimePoint now, WallTime wall) {
  State& state = m_impl->state;
  Plan plan;
  state.changed = false;
  OpenDueIterations(state, now, wall);
  ReturnLapsedTasks(state, now);
  StopTasksOfLeavingWorkers(state, now);
  PlaceReadyTasks(state, now, plan);
  PlanStops(state, now, plan);
  PlanPaces(state, plan);
  EncodeDirty(state, plan);
  EncodeLearned(state, now, plan);
  ForgetEndedJobs(state, now, plan);
  for (Worker& worker : state.workers)
    worker.ends_planned = worker.ends_applied;
  return plan;
}

void Scheduler::OnStored(TimePoint) {
  State& state = m_impl->state;
  for (Worker& worker : state.workers)
    worker.ends_stored = std::min(worker.ends_planned, worker.ends_applied);
  for (const JobId& id : state.to_show) {
    const auto found = state.jobs.find(id);
    if (found != state.jobs.end())
      found->second->shown = found->second->state;
  }
  state.to_show.clear();
}

bool Scheduler::NeedsPlan() const {
  return m_impl->state.changed;
}

TimePoint Scheduler::NextDue(TimePoint now, WallTime wall) const {
  // Leases that end, stops to repeat and workers that are trusted again are
  // looked at this often.
  constexpr Duration tick = std::chrono::milliseconds(200);
  TimePoint due = now + tick;
  if (!m_impl->state.timed.empty())
    due = std::min(
        due,
        now + std::max(Duration(0), m_impl->state.timed.begin()->first - wall));
  return due;
}

std::optional<JobState> Scheduler::StateOf(const JobId& id) const {
  const auto found = m_impl->state.jobs.find(id);
  if (found == m_impl->state.jobs.end())
    return std::nullopt;
  return found->second->shown;
}

size_t Scheduler::CountWaiting(const QueueId& queue) const {
  return static_cast<size_t>(std::count_if(
      m_impl->state.jobs.begin(), m_impl->state.jobs.end(),
      [&queue](const auto& entry) {
        const Job& job = *entry.second;
        return job.spec.queue == queue && !job.has_started && !job.ended_at;
      }));
}

bool Scheduler::NeedsCloseWatch(const WorkerId& id) const {
  const Worker* worker = LookUpWorker(m_impl->state, id);
  return worker != nullptr && IsShared(*worker);
}

bool Scheduler::HasTasks(const WorkerId& id) const {
  const Worker* worker = LookUpWorker(m_impl->state, id);
  return worker != nullptr && !worker->tasks.empty();
}

std::vector<WorkerInfo> Scheduler::Workers() const {
  std::vector<WorkerInfo> workers;
  for (const Worker& worker : m_impl->state.workers) {
    if (worker.listed)
      workers.push_back(worker.info);
  }
  return workers;
}

size_t Scheduler::CountWorkers() const {
  return static_cast<size_t>(
      std::count_if(m_impl->state.workers.begin(), m_impl->state.workers.end(),
                    [](const Worker& worker) { return worker.listed; }));
}

const SchedulerCounters& Scheduler::counters() const {
  return m_impl->state.counters;
}

std::vector<Decision> Scheduler::TakeDecisions() {
  return std::exchange(m_impl->state.decisions, {});
}

std::string Scheduler::DescribeWorker(const WorkerId& id) const {
  const Worker* worker = LookUpWorker(m_impl->state, id);
  return worker == nullptr ? "{}" : DescribeTasks(*worker);
}

std::string Scheduler::Dump(TimePoint now) const {
  return DumpState(m_impl->state, now);
}

}  // namespace cowslipmast::sched
