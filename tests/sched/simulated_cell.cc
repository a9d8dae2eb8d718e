#include "tests/sched/simulated_cell.h"

#include <algorithm>
#include <utility>

namespace cowslipmast::sched {

namespace {

using std::chrono::milliseconds;

constexpr double kTimeStepS = 0.01;
constexpr double kIdleTailMs = 4;
constexpr Duration kListingInterval = milliseconds(700);
constexpr Duration kListingDelayAfterEnd = milliseconds(60);
constexpr size_t kMaxListedEnds = 500;

double Seconds(TimePoint time) {
  return static_cast<double>(time.time_since_epoch().count()) / 1e6;
}

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
  m_jobs.emplace(spec.id, spec);
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
    m_jobs.emplace(transfer->job.id, transfer->job);
    m_scheduler->AddTransfer(*transfer, m_now, wall);
  } else if (parsed->kind == JobRecordKind::kCancellation) {
    m_cancelled.insert(parsed->job);
    m_scheduler->CancelJob(parsed->job, m_now);
  } else if (parsed->kind == JobRecordKind::kEnd) {
    m_scheduler->EndMovedJob(parsed->job, *DecodeEnd(value), m_now);
  }
}

void SimulatedCell::Deliver(const CellMessage& message) {
  m_received_records[message.key] = message.value;
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

void SimulatedCell::UpdateWorkerInfo(size_t index) {
  if (m_has_owner)
    m_scheduler->UpsertWorker(m_workers[index].info, m_now);
}

void SimulatedCell::StopWorker(size_t index) {
  m_workers[index].up = false;
  LoseOutcomes(m_workers[index]);
}

// These tasks have to run again, unless an owner has read their outcome.
void SimulatedCell::LoseOutcomes(const SimulatedWorker& worker) {
  const uint64_t seen =
      m_has_owner ? m_scheduler->AcknowledgedEnds(worker.info.id) : 0;
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
  for (const JobId& id : m_cancelled)
    m_scheduler->CancelJob(id, m_now);
  replay(JobRecordKind::kEnd);
  m_scheduler->FinishRestore(m_now);
  for (SimulatedWorker& worker : m_workers) {
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
    if (m_now >= worker.next_listing)
      SendListing(worker);
  }
  if (!m_pending_plan)
    MakeNextPlan();
  for (const StopRunCommand& stop : m_scheduler->TakeStops(m_now))
    Stop(stop);
  for (const auto& [id, spec] : m_jobs) {
    const auto state = m_scheduler->StateOf(id);
    if (state && *state != JobState::kQueued && *state != JobState::kActive)
      m_end_times.emplace(id, m_now);
  }
}

void SimulatedCell::EndRun(SimulatedWorker& worker,
                           const TaskName& task,
                           RunOutcome outcome) {
  const SimulatedRun run = worker.running.at(task);
  worker.running.erase(task);
  worker.highest_run[task] = std::max(worker.highest_run[task], run.run);
  const std::string saved_checkpoint =
      SpecOf(task).checkpointing
          ? std::to_string(static_cast<int>(
                (run.total_work_s - run.remaining_work_s) * 1000))
          : "";
  worker.ended.push_back(
      {++worker.last_outcome_number, task, run.run, outcome, saved_checkpoint});
  worker.next_listing =
      std::min(worker.next_listing, m_now + kListingDelayAfterEnd);
  if (outcome == RunOutcome::kDone)
    m_observations.done.insert(task);
}

void SimulatedCell::AdvanceWorker(SimulatedWorker& worker) {
  if (!worker.up)
    return;
  worker.clock_ms += kTimeStepS * 1000 * worker.clock_rate;
  std::vector<std::pair<TaskName, RunOutcome>> ended_runs;
  for (auto& [task, run] : worker.running) {
    if (worker.clock_ms >= worker.lease_end_ms) {
      ended_runs.emplace_back(task, RunOutcome::kLeaseExpired);
      continue;
    }
    if (run.stops_at && m_now >= *run.stops_at) {
      ended_runs.emplace_back(task, RunOutcome::kStopped);
      continue;
    }
    if (worker.stalls_all_runs || SpecOf(task).long_running)
      continue;
    run.remaining_work_s -= kTimeStepS * run.pace_percent / 100.0;
    if (run.remaining_work_s <= 0)
      ended_runs.emplace_back(
          task, run.fails ? RunOutcome::kFailed : RunOutcome::kDone);
  }
  for (const auto& [task, outcome] : ended_runs)
    EndRun(worker, task, outcome);
  UpdateTails(worker);
}

void SimulatedCell::UpdateTails(SimulatedWorker& worker) {
  worker.tail_ms.clear();
  if (!own_utilisation_of)
    return;
  for (const auto& [task, run] : worker.running) {
    const StepSpec& spec = SpecOf(task);
    if (spec.latency_target.count() == 0)
      continue;
    double load = own_utilisation_of(task, Seconds(m_now));
    double interference = 0;
    for (const auto& [other, best_effort] : worker.running) {
      if (!SpecOf(other).best_effort)
        continue;
      const double share =
          static_cast<double>(SpecOf(other).need.cpu.count()) /
          static_cast<double>(worker.info.capacity.cpu.count());
      interference +=
          interference_of(SpecOf(other).image.value(), spec.image.value()) *
          share * best_effort.pace_percent / 100.0;
    }
    const double target =
        static_cast<double>(spec.latency_target.count()) / 1000.0;
    const double tail = kIdleTailMs / (1 - std::min(0.98, load + interference));
    worker.tail_ms[task] = tail;
    double& over = m_over_target_s[task];
    over = tail > target && interference > 0 ? over + kTimeStepS : 0;
    if (over > 0)
      m_observations.total_over_target_s += kTimeStepS;
    m_observations.longest_over_target_s =
        std::max(m_observations.longest_over_target_s, over);
  }
}

void SimulatedCell::SendListing(SimulatedWorker& worker) {
  worker.next_listing = m_now + kListingInterval;
  const auto lease = m_scheduler->LeaseEnd(worker.info.id, m_now);
  if (!worker.up || !worker.reachable) {
    m_scheduler->OnUnreachable(worker.info.id, m_now);
    worker.next_listing = m_now + milliseconds(250);
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
  const uint64_t seen = m_scheduler->AcknowledgedEnds(worker.info.id);
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
  for (const JobId& id : m_pending_plan->deleted_jobs) {
    m_submitted.erase(id);
    std::erase_if(m_received_records, [&id](const auto& record) {
      return ParseJobRecordKey(record.first)->job == id;
    });
  }
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

SimulatedWorker* SimulatedCell::Find(const WorkerId& id) {
  for (SimulatedWorker& worker : m_workers) {
    if (worker.info.id == id)
      return &worker;
  }
  return nullptr;
}

void SimulatedCell::Start(const StartRunCommand& command) {
  if (!m_scheduler->IsStillWanted(command)) {
    m_scheduler->OnStartSkipped(command, m_now);
    return;
  }
  SimulatedWorker* worker = Find(command.worker);
  const auto lease = m_scheduler->LeaseEnd(command.worker, m_now);
  if (worker == nullptr || !worker->up || !worker->reachable || !lease) {
    m_scheduler->OnStartUnknown(command, m_now);
    return;
  }
  const auto highest_run = worker->highest_run.find(command.task);
  if (highest_run != worker->highest_run.end() &&
      command.run <= highest_run->second) {
    m_scheduler->OnStartRefused(command, StartRefusal::kOldRun, m_now);
    return;
  }
  Resources used;
  for (const auto& [task, run] : worker->running) {
    Resources need = SpecOf(task).need;
    if (SpecOf(task).best_effort)
      need.cpu = MilliCores(0);
    used += need;
  }
  Resources need = SpecOf(command.task).need;
  if (SpecOf(command.task).best_effort)
    need.cpu = MilliCores(0);
  const bool fits = Fits(need, worker->info.capacity - used);
  if (!fits && !worker->guards_capacity)
    AddViolation("started beyond the capacity", command.task);
  if (!fits && worker->guards_capacity) {
    ++m_observations.starts_without_capacity;
    m_scheduler->OnStartRefused(command, StartRefusal::kNoCapacity, m_now);
    return;
  }
  CheckStart(*worker, command);
  worker->lease_end_ms =
      std::max(worker->lease_end_ms, static_cast<double>(lease->count()));
  SimulatedRun run;
  run.run = command.run;
  run.total_work_s =
      run_time_s_of
          ? run_time_s_of(command.task)
          : static_cast<double>(SpecOf(command.task).estimate.count()) / 1e6;
  run.remaining_work_s = run.total_work_s;
  if (!command.checkpoint.empty())
    run.remaining_work_s -= std::stod(command.checkpoint) / 1000.0;
  run.fails = worker->fails_all || (run_fails && run_fails(command.task));
  run.started = m_now;
  worker->running[command.task] = run;
  m_scheduler->OnStarted(command, m_now);
}

void SimulatedCell::Stop(const StopRunCommand& command) {
  SimulatedWorker* worker = Find(command.worker);
  if (worker == nullptr || !worker->up || !worker->reachable)
    return;
  const auto run = worker->running.find(command.task);
  if (run != worker->running.end() && run->second.run == command.run &&
      stop_delay.count() > 0)
    run->second.stops_at = run->second.stops_at.value_or(m_now + stop_delay);
  else if (run != worker->running.end() && run->second.run == command.run)
    EndRun(*worker, command.task, RunOutcome::kStopped);
  else
    worker->highest_run[command.task] =
        std::max(worker->highest_run[command.task], command.run);
  m_scheduler->OnStopped(command, m_now);
}

void SimulatedCell::Pace(const PaceCommand& command) {
  SimulatedWorker* worker = Find(command.worker);
  if (worker == nullptr || !worker->up || !worker->reachable) {
    m_scheduler->OnPaceUnknown(command);
    return;
  }
  const auto run = worker->running.find(command.task);
  if (run != worker->running.end())
    run->second.pace_percent = command.percent;
}

void SimulatedCell::AddViolation(const std::string& rule,
                                 const TaskName& task) {
  m_observations.violations.push_back(rule + " " + task.job.value() + "." +
                                      std::to_string(task.step) + "." +
                                      std::to_string(task.index));
}

void SimulatedCell::CheckStart(const SimulatedWorker& worker,
                               const StartRunCommand& command) {
  const TaskName& task = command.task;
  ++m_observations.starts[task];
  for (const SimulatedWorker& other : m_workers) {
    if (other.up && other.running.count(task) > 0)
      AddViolation("has two runs at once", task);
  }
  if (m_observations.done.count(task) > 0 && !SpecOf(task).long_running)
    AddViolation("started after it was done", task);
  if (m_cancelled.count(task.job) > 0)
    AddViolation("started after its job was cancelled", task);
  if (worker.info.draining)
    AddViolation("started on a draining worker", task);
  for (const uint32_t earlier : SpecOf(task).depends_on) {
    for (uint32_t i = 0; i < m_jobs.at(task.job).steps[earlier].count; ++i) {
      if (m_observations.done.count({task.job, task.iteration, earlier, i}) ==
          0)
        AddViolation("started before a step that it depends on was done", task);
    }
  }
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
