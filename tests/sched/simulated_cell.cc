#include "tests/sched/simulated_cell.h"

#include <algorithm>
#include <utility>

namespace cowslipmast::sched {

namespace {

using std::chrono::milliseconds;

constexpr Duration kListingInterval = milliseconds(700);
constexpr size_t kMaxListedEnds = 500;

}  // namespace

SimulatedCell::SimulatedCell(const SchedulerOptions& options)
    : m_options(options), m_now(TimePoint(std::chrono::seconds(100))) {
  MakeScheduler();
  m_scheduler->FinishRestore(m_now);
}

void SimulatedCell::MakeScheduler() {
  ++m_epoch;
  m_options.epoch = Epoch(m_epoch);
  m_scheduler = Scheduler::Make(m_options, m_now);
  m_scheduler->SetPolicy(m_policy, m_now);
}

void SimulatedCell::AddWorkers(int count,
                               int64_t cores,
                               int64_t memory_mb,
                               size_t first_number) {
  for (int i = 0; i < count; ++i) {
    const size_t number = first_number + m_workers.size();
    SimulatedWorker worker;
    worker.info.id = WorkerId("w" + std::to_string(number));
    worker.info.service = ServiceId("pool");
    worker.info.rack = RackId("r" + std::to_string(number / 8));
    worker.info.data_centre = DataCentreId("cebu");
    worker.info.capacity.cpu = MilliCores(cores * 1000);
    worker.info.capacity.memory = Mebibytes(memory_mb);
    worker.info.start_time_ms = worker.start_time_ms;
    worker.next_listing = m_now;
    m_scheduler->UpsertWorker(worker.info, m_now);
    m_workers.push_back(std::move(worker));
  }
}

void SimulatedCell::SetWorkspace(const std::string& workspace,
                                 const WorkspacePolicy& policy) {
  m_policy.workspaces[WorkspaceId(workspace)] = policy;
  m_scheduler->SetPolicy(m_policy, m_now);
}

void SimulatedCell::SetQueue(const std::string& queue,
                             const QueuePolicy& policy) {
  m_policy.queues[QueueId(queue)] = policy;
  m_scheduler->SetPolicy(m_policy, m_now);
}

void SimulatedCell::RemoveQueue(const std::string& queue) {
  m_policy.queues.erase(QueueId(queue));
  m_scheduler->SetPolicy(m_policy, m_now);
}

void SimulatedCell::Submit(JobDefinition spec) {
  spec.accepted = WallTime(m_now.time_since_epoch());
  const auto policy = m_policy.queues.find(spec.queue);
  if (policy != m_policy.queues.end())
    spec.accepted_policy = policy->second;
  m_jobs.emplace(spec.id, spec);
  m_open_jobs.insert(spec.id);
  m_submitted.insert(spec.id);
  if (m_has_owner)
    m_scheduler->AddJob(spec, m_now, spec.accepted);
}

void SimulatedCell::ApplyRecord(const std::string& key,
                                const std::string& value) {
  const auto parsed = ParseJobRecordKey(key);
  const WallTime wall(m_now.time_since_epoch());
  if (parsed->kind == JobRecordKind::kTransfer) {
    const auto transfer = DecodeTransfer(value);
    if (m_jobs.emplace(transfer->job.id, transfer->job).second)
      m_open_jobs.insert(transfer->job.id);
    m_scheduler->AddTransfer(*transfer, m_now, wall);
  } else if (parsed->kind == JobRecordKind::kCancellation) {
    m_cancelled.insert(parsed->job);
    m_scheduler->CancelJob(parsed->job, m_now);
  } else if (parsed->kind == JobRecordKind::kEnd) {
    m_scheduler->EndMovedJob(parsed->job, *DecodeEnd(value), m_now);
  } else if (parsed->kind == JobRecordKind::kPartReport) {
    m_scheduler->AddPartReport(parsed->job, *DecodePartReport(value), m_now);
  } else if (parsed->kind == JobRecordKind::kPartEnd) {
    m_scheduler->EndPartOfJob(parsed->job, parsed->iteration, m_now);
  }
}

void SimulatedCell::Deliver(const CellMessage& message) {
  m_received_records[message.key] = message.value;
  // A job that goes on here has tasks that another cell has seen done: its
  // later steps may start, and these tasks may not.
  const auto transfer = DecodeTransfer(message.value);
  if (transfer && transfer->done_tasks) {
    for (const TaskPosition& done : *transfer->done_tasks)
      m_observations.done.insert({transfer->job.id, 0, done.step, done.index});
  }
  if (m_has_owner)
    ApplyRecord(message.key, message.value);
}

std::vector<CellMessage> SimulatedCell::TakeMessages() {
  if (!m_has_owner)
    return {};
  for (CellMessage& message : m_scheduler->TakeCancellations())
    m_sent_messages.push_back(std::move(message));
  for (const CellMessage& message : m_sent_messages) {
    if (message.ended_job)
      m_scheduler->OnEndMessageStored(*message.ended_job);
  }
  return std::exchange(m_sent_messages, {});
}

void SimulatedCell::Cancel(const std::string& job) {
  m_cancelled.insert(JobId(job));
  if (m_has_owner)
    m_scheduler->CancelJob(JobId(job), m_now);
}

void SimulatedCell::RemoveFromList(size_t index) {
  m_scheduler->RemoveWorker(m_workers[index].info.id, m_now);
}

void SimulatedCell::RemoveWorker(size_t index) {
  StopWorker(index);
  SimulatedWorker& worker = m_workers[index];
  worker.removed = true;
  worker.restarts_at.reset();
  worker.listed_at.reset();
  worker.running.clear();
  worker.ended.clear();
  worker.tail_ms.clear();
  if (m_has_owner)
    RemoveFromList(index);
}

void SimulatedCell::UpdateWorkerInfo(size_t index) {
  if (m_has_owner && !m_workers[index].removed)
    m_scheduler->UpsertWorker(m_workers[index].info, m_now);
}

void SimulatedCell::StopWorker(size_t index) {
  m_workers[index].up = false;
  LoseOutcomes(m_workers[index]);
}

// These tasks have to run again, unless an owner has read their outcome.
void SimulatedCell::LoseOutcomes(const SimulatedWorker& worker) {
  const uint64_t seen = m_has_owner ? AcknowledgedEnds(worker) : 0;
  for (const EndedRun& ended : worker.ended) {
    if (ended.number > seen && ended.outcome == RunOutcome::kDone &&
        m_observations.done.erase(ended.task) > 0)
      m_observations.possibly_done.insert(ended.task);
  }
}

void SimulatedCell::EndRunOf(const TaskName& task, RunOutcome outcome) {
  if (const auto index = WorkerOf(task))
    EndRun(m_workers[*index], task, outcome);
}

void SimulatedCell::RestartWorker(size_t index) {
  SimulatedWorker& worker = m_workers[index];
  worker.running.clear();
  worker.highest_run.clear();
  worker.ended.clear();
  worker.last_outcome_number = 0;
  worker.fence = 0;
  worker.clock_ms = 0;
  worker.lease_end_ms = 0;
  ++worker.start_time_ms;
  worker.info.start_time_ms = worker.start_time_ms;
  worker.listed_at = m_now + listing_delay;
  worker.up = true;
  worker.restarts_at.reset();
}

void SimulatedCell::CrashWorker(size_t index) {
  m_workers[index].up = false;
  m_workers[index].restarts_at = m_now + restart_delay;
  LoseOutcomes(m_workers[index]);
  EndOtherMembers(m_workers[index]);
}

// The members of a gang on other workers end when one of them is gone.
void SimulatedCell::EndOtherMembers(const SimulatedWorker& crashed) {
  for (const auto& [gone, gone_run] : crashed.running) {
    if (!SpecOf(gone).gang)
      continue;
    for (SimulatedWorker& worker : m_workers) {
      if (!worker.up)
        continue;
      for (uint32_t i = 0; i < SpecOf(gone).count; ++i) {
        const TaskName member{gone.job, gone.iteration, gone.step, i};
        if (worker.running.count(member) > 0)
          EndRun(worker, member, RunOutcome::kGangMemberEnded);
      }
    }
  }
}

void SimulatedCell::CrashWorkers() {
  for (size_t i = 0; i < m_workers.size(); ++i) {
    SimulatedWorker& worker = m_workers[i];
    if (worker.listed_at && m_now >= *worker.listed_at) {
      worker.listed_at.reset();
      UpdateWorkerInfo(i);
    }
    if (!worker.up && worker.restarts_at && m_now >= *worker.restarts_at)
      RestartWorker(i);
    if (!worker.up || !crashes_worker)
      continue;
    for (const auto& [task, run] : worker.running) {
      if (m_now - run.started < crash_delay || !crashes_worker(task))
        continue;
      ++m_observations.crashes[task];
      CrashWorker(i);
      break;
    }
  }
}

void SimulatedCell::RemoveOwner(bool last_plan_is_stored) {
  if (m_pending_plan && last_plan_is_stored)
    StorePendingRecords();
  m_pending_plan.reset();
  m_sent_messages.clear();
  m_has_owner = false;
}

void SimulatedCell::ReplaceOwner() {
  m_has_owner = true;
  m_pending_plan.reset();
  m_sent_messages.clear();
  MakeScheduler();
  for (const auto& [id, spec] : m_jobs) {
    // Jobs that other cells moved here are known from their transfers.
    if (m_submitted.count(id) > 0)
      m_scheduler->AddJob(spec, m_now, WallTime(m_now.time_since_epoch()));
  }
  const auto replay = [this](JobRecordKind kind) {
    for (const auto& [key, value] : m_received_records) {
      if (ParseJobRecordKey(key)->kind == kind)
        ApplyRecord(key, value);
    }
  };
  replay(JobRecordKind::kTransfer);
  for (const auto& [key, value] : m_stored_records) {
    m_scheduler->RestoreProgress(
        {key, rewrite_stored_value ? rewrite_stored_value(value) : value});
  }
  replay(JobRecordKind::kPartReport);
  replay(JobRecordKind::kPartEnd);
  for (const JobId& id : m_cancelled)
    m_scheduler->CancelJob(id, m_now);
  replay(JobRecordKind::kEnd);
  m_scheduler->FinishRestore(m_now);
  for (SimulatedWorker& worker : m_workers) {
    if (worker.removed)
      continue;
    m_scheduler->UpsertWorker(worker.info, m_now);
    worker.next_listing = m_now;
  }
}

void SimulatedCell::Run(Duration duration) {
  const TimePoint end = m_now + duration;
  while (m_now < end)
    Advance();
}

void SimulatedCell::RunUntilEnd(const std::string& job, Duration limit) {
  const TimePoint end = m_now + limit;
  while (m_now < end && !EndTimeOf(job))
    Advance();
}

void SimulatedCell::Advance() {
  m_now += kTimeStep;
  for (SimulatedWorker& worker : m_workers)
    AdvanceWorker(worker);
  CrashWorkers();
  if (m_has_owner)
    AdvanceOwner();
}

void SimulatedCell::AdvanceOwner() {
  ApplyStoredPlan();
  for (SimulatedWorker& worker : m_workers) {
    // As the worker driver does, until the leases have expired.
    const bool is_followed =
        !worker.removed || m_scheduler->IsFollowed(worker.info.id);
    if (is_followed && !worker.hangs_listings && m_now >= worker.next_listing)
      SendListing(worker);
  }
  if (!m_pending_plan)
    MakeNextPlan();
  for (const StopRunCommand& stop : m_scheduler->TakeStops(m_now))
    Stop(stop);
  std::erase_if(m_open_jobs, [this](const JobId& id) {
    const auto state = m_scheduler->StateOf(id);
    return state && *state != JobState::kQueued &&
           *state != JobState::kActive && m_end_times.emplace(id, m_now).second;
  });
}

void SimulatedCell::SendListing(SimulatedWorker& worker) {
  worker.next_listing = m_now + kListingInterval;
  const auto instance = m_scheduler->InstanceOf(worker.info.id);
  const auto lease =
      instance ? m_scheduler->LeaseEnd(*instance, m_now) : std::nullopt;
  if (!worker.up || !worker.reachable) {
    m_scheduler->OnUnreachable(worker.info.id, m_now);
    worker.next_listing = m_now + milliseconds(250);
    return;
  }
  if (instance && instance->start_time_ms != worker.start_time_ms) {
    m_scheduler->OnInstanceEnded(*instance, m_now);
    worker.next_listing = m_now + kTimeStep;
    return;
  }
  if (worker.fence > m_epoch)
    return;
  worker.fence = m_epoch;
  if (lease) {
    worker.lease_end_ms =
        std::max(worker.lease_end_ms, static_cast<double>(lease->count()));
  } else {
    worker.next_listing = m_now + kTimeStep;
  }
  const uint64_t seen = AcknowledgedEnds(worker);
  std::erase_if(worker.ended,
                [seen](const EndedRun& ended) { return ended.number <= seen; });
  WorkerListing listing;
  listing.clock = WorkerClock(static_cast<int64_t>(worker.clock_ms));
  listing.start_time_ms = worker.start_time_ms;
  listing.ended.assign(
      worker.ended.begin(),
      worker.ended.begin() + static_cast<std::ptrdiff_t>(std::min(
                                 worker.ended.size(), kMaxListedEnds)));
  for (const auto& [task, run] : worker.running) {
    ActiveRun running{.task = task,
                      .run = run.run,
                      .checkpoint = "",
                      .percent = 0,
                      .load = std::nullopt};
    const StepSpec& spec = SpecOf(task);
    running.percent =
        spec.long_running
            ? 100
            : static_cast<uint32_t>(
                  100 * (1 - run.remaining_work_s / run.total_work_s));
    if (spec.latency_target.count() > 0 && worker.tail_ms.count(task) > 0)
      running.load = static_cast<int64_t>(worker.tail_ms.at(task));
    else if (spec.best_effort)
      running.load = spec.need.cpu.count() * run.pace_percent / 100;
    listing.running.push_back(running);
  }
  m_scheduler->OnListing(worker.info.id, listing, m_now - milliseconds(1),
                         m_now);
}

void SimulatedCell::MakeNextPlan() {
  m_pending_plan =
      m_scheduler->MakePlan(m_now, WallTime(m_now.time_since_epoch()));
  m_pending_since = m_now;
  for (const PaceCommand& pace : m_pending_plan->paces)
    Pace(pace);
}

void SimulatedCell::StorePendingRecords() {
  for (const JobId& id : m_pending_plan->deleted_jobs)
    DeleteJob(id);
  for (const ProgressRecord& record : m_pending_plan->records) {
    if (record.value.empty())
      m_stored_records.erase(record.key);
    else
      m_stored_records[record.key] = record.value;
  }
}

// The records of the plan made in the previous time step are stored by now.
void SimulatedCell::ApplyStoredPlan() {
  if (!m_pending_plan || !store_is_up ||
      m_now - m_pending_since < append_latency)
    return;
  StorePendingRecords();
  m_scheduler->OnSubmissionsDeleted(m_pending_plan->deleted_jobs, m_now);
  m_scheduler->OnStored(m_now);
  for (CellMessage& message : m_pending_plan->messages)
    m_sent_messages.push_back(std::move(message));
  const std::vector<StartRunCommand> starts = m_pending_plan->starts;
  m_pending_plan.reset();
  for (const StartRunCommand& start : starts)
    Start(start);
}

// The next owner does not read its records.
void SimulatedCell::DeleteJob(const JobId& id) {
  m_submitted.erase(id);
  std::erase_if(m_received_records, [&id](const auto& record) {
    return ParseJobRecordKey(record.first)->job == id;
  });
}

SimulatedWorker* SimulatedCell::Find(const WorkerId& id) {
  for (SimulatedWorker& worker : m_workers) {
    if (worker.info.id == id)
      return &worker;
  }
  return nullptr;
}

SimulatedWorker* SimulatedCell::FindReachable(const WorkerInstance& instance) {
  SimulatedWorker* worker = Find(instance.id);
  return worker != nullptr && worker->up && worker->reachable &&
                 worker->start_time_ms == instance.start_time_ms
             ? worker
             : nullptr;
}

uint64_t SimulatedCell::AcknowledgedEnds(const SimulatedWorker& worker) const {
  return m_scheduler->AcknowledgedEnds({worker.info.id, worker.start_time_ms});
}

const StepSpec& SimulatedCell::SpecOf(const TaskName& task) const {
  return m_jobs.at(task.job).steps[task.step];
}

std::optional<JobState> SimulatedCell::StateOf(const std::string& job) const {
  return m_scheduler->StateOf(JobId(job));
}

std::optional<TimePoint> SimulatedCell::EndTimeOf(
    const std::string& job) const {
  const auto found = m_end_times.find(JobId(job));
  if (found == m_end_times.end())
    return std::nullopt;
  return found->second;
}

size_t SimulatedCell::CountStoredRecords() const {
  const auto progress = std::count_if(
      m_stored_records.begin(), m_stored_records.end(), [](const auto& record) {
        return record.first.find('.') != std::string::npos;
      });
  return static_cast<size_t>(progress) + m_received_records.size();
}

size_t SimulatedCell::CountRunning(const std::string& job) const {
  size_t count = 0;
  for (const SimulatedWorker& worker : m_workers) {
    if (!worker.up)
      continue;
    for (const auto& [task, run] : worker.running)
      count += task.job == JobId(job) ? 1 : 0;
  }
  return count;
}

std::optional<size_t> SimulatedCell::WorkerOf(const TaskName& task) const {
  for (size_t i = 0; i < m_workers.size(); ++i) {
    if (m_workers[i].running.count(task) > 0)
      return i;
  }
  return std::nullopt;
}

}  // namespace cowslipmast::sched
