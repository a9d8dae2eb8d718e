#include "cowslipmast/sched/scheduler.h"

#include <algorithm>
#include <tuple>
#include <utility>
#include <vector>

#include "src/sched/assignment.h"
#include "src/sched/cell_load.h"
#include "src/sched/crash_suspects.h"
#include "src/sched/draining.h"
#include "src/sched/dump.h"
#include "src/sched/interference_codec.h"
#include "src/sched/job_parts.h"
#include "src/sched/jobs.h"
#include "src/sched/lease.h"
#include "src/sched/lease_notes.h"
#include "src/sched/listing.h"
#include "src/sched/pacing.h"
#include "src/sched/progress.h"
#include "src/sched/relocation.h"
#include "src/sched/shared_interference.h"
#include "src/sched/silent_ends.h"
#include "src/sched/task_placement.h"
#include "src/sched/task_transfers.h"
#include "src/sched/transfers.h"
#include "src/sched/unheard_workers.h"
#include "src/sched/waiting_tasks.h"
#include "src/sched/workers.h"

namespace cowslipmast::sched {

namespace {

// A stop that was not confirmed is sent again after this time. Calls to workers
// take up to 50 ms between regions.
constexpr Duration kStopRetryInterval = std::chrono::milliseconds(700);
// A worker that refused a start gets no more for this long; by then a listing
// tells which runs have ended.
constexpr Duration kFullWorkerBackOff = std::chrono::milliseconds(250);
// The interference model is stored this often, together with progress records.
// It takes 5 to 15 kB, and converges within some seconds.
constexpr Duration kInterferenceStoreInterval = std::chrono::seconds(3);
// Decisions kept between two calls of `TakeDecisions`; later ones are dropped.
constexpr size_t kMaxDecisions = 4096;
constexpr size_t kMaxDeletionsPerPlan = 1000;

std::optional<TaskRef> FindRun(const State& state,
                               const WorkerId& worker,
                               const TaskName& name,
                               RunNumber run) {
  const auto ref = FindTask(state, name);
  if (!ref || TaskOf(*ref).run != run ||
      TaskOf(*ref).worker != FindWorkerIndex(state, worker) ||
      TaskOf(*ref).worker == kNoWorker)
    return std::nullopt;
  return ref;
}

// True if the listing tells the end of a long-running run that the worker still
// counts as running.
bool EndsLongRunningRun(const State& state,
                        const WorkerId& worker,
                        const WorkerListing& listing) {
  return std::any_of(
      listing.ended.begin(), listing.ended.end(), [&](const EndedRun& ended) {
        const auto ref = FindRun(state, worker, ended.task, ended.run);
        return ref && SpecOf(*ref).long_running;
      });
}

bool LongRunningTaskWaits(const State& state) {
  return std::any_of(state.ready_steps.begin(), state.ready_steps.end(),
                     [](const ReadyKey& key) {
                       const StepSpec& spec =
                           key.iteration->job->spec.steps[key.step];
                       return spec.long_running && !spec.best_effort;
                     });
}

void EncodeDirtyIterations(State& state, Plan& plan) {
  for (Iteration* iteration : state.dirty_iterations) {
    iteration->dirty = false;
    plan.records.push_back(EncodeProgress(state, *iteration));
    Job& job = *iteration->job;
    if (iteration->has_unreported_ends)
      PlanPartReport(state, *iteration);
    state.jobs_to_publish.emplace_back(job.spec.id, job.state);
    const bool had_parts =
        !iteration->part_cells.empty() || iteration->is_closed;
    if (had_parts && !job.ended_at && IsDone(job, iteration->number))
      state.ended_iterations_planned.emplace_back(job.spec.id,
                                                  iteration->number);
    ForgetDoneIteration(state, job, iteration->number);
  }
  state.dirty_iterations.clear();
}

// Deletes progress of deleted jobs, some keys in each plan: a recurring job has
// a record for each iteration.
void PlanProgressDeletions(State& state, Plan& plan) {
  std::vector<std::string>& keys = state.deleted_progress;
  for (size_t i = 0; i < kMaxDeletionsPerPlan && !keys.empty(); ++i) {
    plan.records.push_back({std::move(keys.back()), ""});
    keys.pop_back();
  }
  if (!keys.empty())
    state.needs_plan = true;
}

// Adds the interference model to an append that is due anyway.
void EncodeLearnedInterference(State& state, TimePoint now, Plan& plan) {
  const bool is_due =
      !state.interference_stored_at ||
      now - *state.interference_stored_at >= kInterferenceStoreInterval;
  if (plan.records.empty() || !is_due)
    return;
  state.interference_stored_at = now;
  size_t left_out = 0;
  std::string encoded = EncodeInterference(state, &left_out);
  if (left_out > 0 && state.decisions.size() < kMaxDecisions) {
    Decision decision;
    decision.event = "learned_data_left_out";
    decision.detail = "images=" + std::to_string(left_out);
    state.decisions.push_back(std::move(decision));
  }
  plan.records.push_back({std::string(kInterferenceKey), std::move(encoded)});
}

// Something else answers in place of the worker's instance.
void HandleGoneInstance(State& state,
                        const WorkerId& id,
                        std::string_view reason,
                        TimePoint now) {
  const int32_t index = FindWorkerIndex(state, id);
  if (index == kNoWorker)
    return;
  WorkerState& worker = state.workers[static_cast<size_t>(index)];
  worker.reachability = Reachability::kUnreachable;
  // It is reported again as long as the platform lists the worker.
  if (worker.instance || !worker.tasks.empty() || !worker.silent_tasks.empty())
    HandleEndedInstance(state, index, reason, now);
  worker.lease_expiry = now;
}

void NoteWallTime(State& state, TimePoint now, WallTime wall) {
  state.wall_origin = wall - now.time_since_epoch();
}

// Stored jobs are read in no particular order. Those that are read later, as
// they are accepted, follow.
void RestoreOrderOfArrival(State& state) {
  std::vector<Job*> jobs;
  jobs.reserve(state.jobs.size());
  for (const auto& [id, job] : state.jobs)
    jobs.push_back(job.get());
  std::sort(jobs.begin(), jobs.end(), [](const Job* a, const Job* b) {
    return std::tie(a->spec.accepted, a->spec.id) <
           std::tie(b->spec.accepted, b->spec.id);
  });
  for (Job* job : jobs)
    job->sequence = state.next_sequence++;
}

void RestoreJob(State& state, Job& job, TimePoint now) {
  if (IsCoordinator(job) && job.iterations_done >= IterationCount(job.spec))
    job.state = JobState::kCompleted;
  if (job.moved_to && job.state != JobState::kFailed &&
      job.state != JobState::kCancelled && job.state != JobState::kCompleted) {
    job.published_state = job.state;
    // Tasks of the job may have come back here alone.
    for (auto& [number, iteration] : job.iterations) {
      ResumeWaits(state, *iteration, now);
      UnblockSteps(state, *iteration, now);
    }
    RepeatMessages(state, job, now);
    return;
  }
  if (job.state != JobState::kFailed && job.state != JobState::kCancelled &&
      job.state != JobState::kCompleted) {
    // Callers may have been told so: a start of a placed task may have been
    // confirmed since its record was stored.
    if (job.has_started || job.placed_tasks > 0)
      job.state = JobState::kActive;
    job.published_state = job.state;
    for (auto& [number, iteration] : job.iterations) {
      ResumeWaits(state, *iteration, now);
      UnblockSteps(state, *iteration, now);
    }
    RepeatMessages(state, job, now);
    return;
  }
  const JobState end = job.state;
  job.state = JobState::kActive;
  EndJob(state, job, end, now);
  job.published_state = end;
  if (job.is_cancelled)
    ForwardCancellation(state, job);
}

}  // namespace

std::optional<TaskRef> FindTask(const State& state, const TaskName& name) {
  const auto job = state.jobs.find(name.job);
  if (job == state.jobs.end())
    return std::nullopt;
  const auto iteration = job->second->iterations.find(name.iteration);
  if (iteration == job->second->iterations.end() ||
      !HasTask(*iteration->second, name.step, name.index))
    return std::nullopt;
  return TaskRef{iteration->second.get(), name.step, name.index};
}

void LogDecision(State& state,
                 std::string_view event,
                 const TaskRef& ref,
                 std::string detail) {
  if (state.decisions.size() >= kMaxDecisions)
    return;
  const Task& task = TaskOf(ref);
  WorkerId worker;
  if (task.worker != kNoWorker)
    worker = state.workers[static_cast<size_t>(task.worker)].info.id;
  state.decisions.push_back(
      Decision{event, NameOf(ref), task.run, worker, std::move(detail)});
}

struct Scheduler::Impl {
  State state;
  bool long_running_waits = false;  // after the last plan
  bool has_awaited_capacity = false;
};

Scheduler::Scheduler(std::unique_ptr<Impl> impl) : m_impl(std::move(impl)) {}
Scheduler::~Scheduler() = default;

std::unique_ptr<Scheduler> Scheduler::Make(const SchedulerOptions& options,
                                           TimePoint claimed_at) {
  auto impl = std::make_unique<Impl>();
  impl->state.options = options;
  impl->state.claimed_at = claimed_at;
  return std::unique_ptr<Scheduler>(new Scheduler(std::move(impl)));
}

bool Scheduler::RestoreProgress(const ProgressRecord& record) {
  State& state = m_impl->state;
  const bool applied =
      record.key == kInterferenceKey ? ApplyInterference(state, record.value)
      : record.key == kLeaseNotesKey ? ApplyLeaseNotes(state, record.value)
                                     : ApplyProgress(state, record);
  if (!applied)
    ++state.counters.bad_records;
  return applied;
}

void Scheduler::FinishRestore(TimePoint now) {
  State& state = m_impl->state;
  state.restored = true;
  RestoreLeaseNotes(state, now);
  RestoreOrderOfArrival(state);
  for (auto& [id, job] : state.jobs) {
    if (!job->ended_at)
      RestoreJob(state, *job, now);
  }
  state.needs_plan = true;
}

void Scheduler::SetPolicy(const Policy& policy, TimePoint) {
  State& state = m_impl->state;
  Policy next = policy;
  // Accepted jobs of a removed queue or workspace run under its last policy.
  for (const auto& [id, job] : state.jobs) {
    const auto queue = state.policy.queues.find(job->spec.queue);
    if (queue != state.policy.queues.end())
      next.queues.insert(*queue);
    const auto workspace = state.policy.workspaces.find(job->spec.workspace);
    if (workspace != state.policy.workspaces.end())
      next.workspaces.insert(*workspace);
  }
  state.policy = std::move(next);
  state.needs_plan = true;
}

void Scheduler::AddJob(const JobDefinition& spec,
                       TimePoint now,
                       WallTime wall) {
  State& state = m_impl->state;
  NoteWallTime(state, now, wall);
  if (state.jobs.contains(spec.id) || state.deleted_jobs.contains(spec.id))
    return;
  Job& job = AddJobWithoutIterations(state, spec, now, wall);
  if (spec.iterations > 0)
    state.upcoming_iterations.emplace(spec.first_due, &job);
  else
    StartFirstIteration(state, job, now);
  if (state.early_cancellations.erase(spec.id) > 0)
    CancelJob(spec.id, now);
}

void Scheduler::CancelJob(const JobId& id, TimePoint now) {
  State& state = m_impl->state;
  if (state.deleted_jobs.contains(id))
    return;
  const auto found = state.jobs.find(id);
  if (found == state.jobs.end()) {
    state.early_cancellations.insert(id);
    return;
  }
  CancelKnownJob(state, *found->second, now);
}

void Scheduler::AddTransfer(const JobTransfer& transfer,
                            TimePoint now,
                            WallTime wall) {
  NoteWallTime(m_impl->state, now, wall);
  if (!m_impl->state.deleted_jobs.contains(transfer.job.id))
    ApplyTransfer(m_impl->state, transfer, now, wall);
}

void Scheduler::EndMovedJob(const JobId& id, JobState end, TimePoint now) {
  ApplyRemoteEnd(m_impl->state, id, end, now);
}

void Scheduler::AddPartReport(const JobId& id,
                              const PartReport& report,
                              TimePoint now) {
  ApplyPartReport(m_impl->state, id, report, now);
}

void Scheduler::EndPartOfJob(const JobId& id,
                             std::optional<uint32_t> iteration,
                             TimePoint now) {
  EndPart(m_impl->state, id, iteration, now);
}

void Scheduler::OnEndMessageStored(const JobId& id) {
  const auto found = m_impl->state.jobs.find(id);
  if (found != m_impl->state.jobs.end())
    ++found->second->end_messages_stored;
}

void Scheduler::OnSubmissionsDeleted(const std::vector<JobId>& ids,
                                     TimePoint now) {
  ForgetDeletedJobs(m_impl->state, ids, now);
}

void Scheduler::SetCellLoads(std::vector<CellLoad> loads, TimePoint now) {
  m_impl->state.cell_loads = std::move(loads);
  m_impl->state.cell_loads_at = now;
  CountRecentMoves(m_impl->state, now);
}

std::string Scheduler::OwnInterference() const {
  return EncodeOwnEstimates(m_impl->state.interference);
}

size_t Scheduler::SetPeerInterference(const std::vector<std::string>& encoded) {
  return SetPeerEstimates(m_impl->state.interference, encoded);
}

CellLoad Scheduler::Load(TimePoint now) const {
  const State& state = m_impl->state;
  if (!state.options.features.relocation)
    return MeasureLoad(state, now);
  return MeasureLoad(state, now, ChangesByMoves(state, now));
}

std::vector<CellMessage> Scheduler::TakeCancellations() {
  return std::exchange(m_impl->state.cancellations, {});
}

void Scheduler::UpsertWorker(const WorkerInfo& info, TimePoint) {
  State& state = m_impl->state;
  const int32_t index = GetOrCreateWorkerIndex(state, info.id);
  WorkerState& worker = state.workers[static_cast<size_t>(index)];
  worker.info = info;
  worker.listed = true;
  HandleEntry(state, index);
  state.needs_plan = true;
}

void Scheduler::RemoveWorker(const WorkerId& id, TimePoint) {
  State& state = m_impl->state;
  const int32_t worker = FindWorkerIndex(state, id);
  if (worker == kNoWorker)
    return;
  state.workers[static_cast<size_t>(worker)].listed = false;
  state.needs_plan = true;
}

void Scheduler::OnListing(const WorkerId& id,
                          const WorkerListing& listing,
                          TimePoint asked,
                          TimePoint now) {
  const int32_t worker = FindWorkerIndex(m_impl->state, id);
  if (worker == kNoWorker)
    return;
  PromoteOpportunisticTasks(m_impl->state, worker);
  if (m_impl->long_running_waits &&
      EndsLongRunningRun(m_impl->state, id, listing))
    m_impl->has_awaited_capacity = true;
  ApplyListing(m_impl->state, worker, listing, asked, now);
  PaceBestEffortTasks(m_impl->state, worker);
}

void Scheduler::OnUnreachable(const WorkerId& id, TimePoint) {
  State& state = m_impl->state;
  WorkerState* worker = FindWorkerState(state, id);
  if (worker == nullptr)
    return;
  worker->is_silent = true;
  ++worker->unanswered_requests;
  NoteSilence(state, FindWorkerIndex(state, id));
  if (worker->reachability == Reachability::kReachable)
    worker->reachability = Reachability::kUnreachable;
}

void Scheduler::OnWorkerDead(const WorkerId& id, TimePoint now) {
  HandleGoneInstance(m_impl->state, id, "another worker answers", now);
}

void Scheduler::OnInstanceEnded(const WorkerInstance& instance, TimePoint now) {
  if (InstanceOf(instance.id) == instance)
    HandleGoneInstance(m_impl->state, instance.id, "worker restarted", now);
}

void Scheduler::OnStarted(const StartRunCommand& command, TimePoint now) {
  State& state = m_impl->state;
  ++state.counters.starts;
  const auto ref = FindRun(state, command.worker.id, command.task, command.run);
  if (!ref || TaskOf(*ref).phase != SchedulingPhase::kPlanned)
    return;
  Task& task = TaskOf(*ref);
  NoteStart(*ref->iteration->job);
  ConfirmStart(state, *ref);
  task.phase = SchedulingPhase::kRunning;
  task.visible_from = now;
  task.started = now;
  task.last_progress = now;
  // Its pace was set when it was placed.
  if (SpecOf(*ref).best_effort && NeedsPaceCommand(task))
    state.needs_plan = true;
}

void Scheduler::OnStartSkipped(const StartRunCommand& command, TimePoint now) {
  State& state = m_impl->state;
  const auto ref = FindRun(state, command.worker.id, command.task, command.run);
  if (!ref)
    return;
  LogDecision(state, "start_skipped", *ref);
  RequeueUnstartedTask(state, *ref, now);
}

void Scheduler::OnStartRefused(const StartRunCommand& command,
                               StartRefusal refusal,
                               TimePoint now) {
  State& state = m_impl->state;
  const auto ref = FindRun(state, command.worker.id, command.task, command.run);
  if (!ref)
    return;
  LogDecision(state, "start_refused", *ref,
              std::string(StartRefusalName(refusal)));
  WorkerState& worker = state.workers[static_cast<size_t>(TaskOf(*ref).worker)];
  if (refusal == StartRefusal::kOldRun) {
    // The run was started already, or stopped before: the next listing tells.
    if (TaskOf(*ref).phase == SchedulingPhase::kPlanned)
      TaskOf(*ref).phase = SchedulingPhase::kRunning;
    TaskOf(*ref).visible_from = now;
    return;
  }
  if (refusal == StartRefusal::kNoCapacity)
    ++state.counters.starts_without_capacity;
  if (refusal == StartRefusal::kNoCapacity ||
      refusal == StartRefusal::kUnhealthy)
    worker.full_until = now + kFullWorkerBackOff;
  RequeueUnstartedTask(state, *ref, now);
}

void Scheduler::OnStartUnknown(const StartRunCommand& command, TimePoint now) {
  State& state = m_impl->state;
  const auto ref = FindRun(state, command.worker.id, command.task, command.run);
  if (!ref || TaskOf(*ref).phase != SchedulingPhase::kPlanned)
    return;
  LogDecision(state, "start_unknown", *ref);
  TaskOf(*ref).phase = SchedulingPhase::kUncertain;
  TaskOf(*ref).visible_from = now;
}

void Scheduler::OnStopped(const StopRunCommand& command, TimePoint now) {
  const auto ref =
      FindRun(m_impl->state, command.worker.id, command.task, command.run);
  if (!ref || TaskOf(*ref).phase != SchedulingPhase::kStopping)
    return;
  TaskOf(*ref).visible_from = now;
}

void Scheduler::OnPaceUnknown(const PaceCommand& command) {
  const auto ref =
      FindRun(m_impl->state, command.worker.id, command.task, command.run);
  if (!ref)
    return;
  TaskOf(*ref).pace_percent = kUnknownPacePercent;
  m_impl->state.needs_plan = true;
}

std::optional<WorkerInstance> Scheduler::InstanceOf(const WorkerId& id) const {
  const WorkerState* worker = FindWorkerState(m_impl->state, id);
  if (worker == nullptr || !worker->instance)
    return std::nullopt;
  return CurrentInstance(*worker);
}

std::optional<WorkerClock> Scheduler::LeaseEnd(const WorkerInstance& instance,
                                               TimePoint now) {
  WorkerState* worker = FindWorkerState(m_impl->state, instance.id);
  // A call to an unreachable worker may still arrive. If it carried a lease
  // end, the time at which the worker's runs are over would be put off for
  // ever.
  if (worker == nullptr || InstanceOf(instance.id) != instance ||
      worker->reachability == Reachability::kUnreachable ||
      IsLeaseNoted(m_impl->state, instance.id))
    return std::nullopt;
  return ExtendLease(m_impl->state.options, *worker, now);
}

uint64_t Scheduler::AcknowledgedEnds(const WorkerInstance& instance) const {
  const WorkerState* worker = FindWorkerState(m_impl->state, instance.id);
  return worker != nullptr && InstanceOf(instance.id) == instance
             ? worker->instance->outcomes_stored
             : 0;
}

bool Scheduler::IsStillWanted(const StartRunCommand& command) const {
  const State& state = m_impl->state;
  const auto ref = FindRun(state, command.worker.id, command.task, command.run);
  if (!ref || TaskOf(*ref).phase != SchedulingPhase::kPlanned ||
      ref->iteration->job->ended_at)
    return false;
  const WorkerState& worker =
      state.workers[static_cast<size_t>(TaskOf(*ref).worker)];
  // The worker may have become smaller since the start was planned.
  return Fits(Resources{}, FreeCapacity(worker)) && !worker.info.draining &&
         worker.reachability == Reachability::kReachable &&
         !IsLeaseNoted(state, worker.info.id) &&
         state.policy.evacuated.count(worker.info.data_centre) == 0;
}

std::vector<StopRunCommand> Scheduler::TakeStops(TimePoint now) {
  State& state = m_impl->state;
  std::vector<StopRunCommand> stops = std::move(state.pending_stops);
  state.pending_stops.clear();
  for (const auto& [name, ref] : state.stopping_tasks) {
    Task& task = TaskOf(ref);
    const WorkerState& worker = state.workers[static_cast<size_t>(task.worker)];
    if (worker.reachability == Reachability::kUnknown || task.visible_from ||
        (task.stop_sent && now - *task.stop_sent < kStopRetryInterval))
      continue;
    task.stop_sent = now;
    ++state.counters.stops;
    stops.push_back({CurrentInstance(worker), name, task.run});
  }
  return stops;
}

Plan Scheduler::MakePlan(TimePoint now, WallTime wall) {
  State& state = m_impl->state;
  Plan plan;
  state.needs_plan = false;
  m_impl->has_awaited_capacity = false;
  NoteWallTime(state, now, wall);
  CreateDueIterations(state, now, wall);
  FindUnheardWorkers(state, now);
  RequeueTasksOfExpiredLeases(state, now);
  EndWaitForLateProofs(state, now);
  StopTasksOfDrainingWorkers(state, now);
  PlanJobTransfers(state, now);
  PlaceReadyTasks(state, now, plan);
  StopPausedTasks(state, now);
  LogWaitingTasks(state, now);
  PlanTaskTransfers(state, now);
  PlanPaces(state, now, plan);
  EncodeDirtyIterations(state, plan);
  EncodeLearnedInterference(state, now, plan);
  EncodeLeaseNotes(state, now, plan);
  DeleteEndedJobs(state, now, plan);
  ForgetOldDeletions(state, now);
  PlanProgressDeletions(state, plan);
  plan.messages = std::exchange(state.messages, {});
  for (WorkerState& worker : state.workers) {
    if (worker.instance)
      worker.instance->outcomes_planned = worker.instance->outcomes_applied;
  }
  m_impl->long_running_waits = LongRunningTaskWaits(state);
  return plan;
}

void Scheduler::OnStored(TimePoint now) {
  State& state = m_impl->state;
  HandleStoredLeaseNotes(state);
  for (WorkerState& worker : state.workers) {
    if (worker.instance)
      worker.instance->outcomes_stored = worker.instance->outcomes_planned;
  }
  state.ended_iterations_stored.insert(state.ended_iterations_stored.end(),
                                       state.ended_iterations_planned.begin(),
                                       state.ended_iterations_planned.end());
  state.ended_iterations_planned.clear();
  PublishStates(state, now);
}

void Scheduler::ForgetUnknownJob(const JobId& id) {
  m_impl->state.early_cancellations.erase(id);
}

std::vector<std::pair<JobId, uint32_t>> Scheduler::TakeEndedIterations() {
  return std::exchange(m_impl->state.ended_iterations_stored, {});
}

bool Scheduler::NeedsPlan() const {
  return m_impl->state.needs_plan;
}

void Scheduler::SetWorkersKnown(bool known) {
  m_impl->state.knows_workers = known;
}

bool Scheduler::HasAwaitedCapacity() const {
  return m_impl->has_awaited_capacity;
}

TimePoint Scheduler::NextDue(TimePoint now, WallTime wall) const {
  // Expired leases, unconfirmed stops and workers that may be used again are
  // checked this often.
  constexpr Duration recheck_interval = std::chrono::milliseconds(200);
  TimePoint due = now + recheck_interval;
  if (!m_impl->state.upcoming_iterations.empty())
    due = std::min(
        due, now + std::max(Duration(0),
                            m_impl->state.upcoming_iterations.begin()->first -
                                wall));
  return due;
}

std::optional<JobStatus> Scheduler::StatusOf(const JobId& id) const {
  const auto found = m_impl->state.jobs.find(id);
  if (found == m_impl->state.jobs.end())
    return std::nullopt;
  const Job& job = *found->second;
  return JobStatus{job.published_state,
                   job.ended_at ? std::nullopt : job.moved_to};
}

std::optional<JobState> Scheduler::StateOf(const JobId& id) const {
  const auto status = StatusOf(id);
  return status ? std::optional(status->state) : std::nullopt;
}

size_t Scheduler::CountWaiting(const QueueId& queue) const {
  return static_cast<size_t>(
      std::count_if(m_impl->state.jobs.begin(), m_impl->state.jobs.end(),
                    [&queue](const auto& entry) {
                      const Job& job = *entry.second;
                      return job.spec.queue == queue && IsWaiting(job);
                    }));
}

bool Scheduler::NeedsFrequentListing(const WorkerId& id) const {
  const WorkerState* worker = FindWorkerState(m_impl->state, id);
  return worker != nullptr && RunsBothTaskClasses(*worker);
}

bool Scheduler::IsFollowed(const WorkerId& id) const {
  const WorkerState* worker = FindWorkerState(m_impl->state, id);
  return worker != nullptr && (worker->listed || !worker->tasks.empty() ||
                               worker->proof_awaited_until);
}

std::vector<WorkerInfo> Scheduler::Workers() const {
  std::vector<WorkerInfo> workers;
  for (const WorkerState& worker : m_impl->state.workers) {
    if (worker.listed)
      workers.push_back(worker.info);
  }
  return workers;
}

size_t Scheduler::CountWorkers() const {
  return static_cast<size_t>(
      std::count_if(m_impl->state.workers.begin(), m_impl->state.workers.end(),
                    [](const WorkerState& worker) { return worker.listed; }));
}

const SchedulerCounters& Scheduler::counters() const {
  return m_impl->state.counters;
}

WaitingSummary Scheduler::Waiting(TimePoint now) const {
  return SummarizeWaitingWork(m_impl->state, now);
}

std::vector<Decision> Scheduler::TakeDecisions() {
  return std::exchange(m_impl->state.decisions, {});
}

std::string Scheduler::DescribeWorker(const WorkerId& id) const {
  const WorkerState* worker = FindWorkerState(m_impl->state, id);
  return worker == nullptr ? "{}" : DescribeTasks(*worker);
}

std::string Scheduler::Dump(TimePoint now) const {
  return DumpState(m_impl->state, now);
}

}  // namespace cowslipmast::sched
