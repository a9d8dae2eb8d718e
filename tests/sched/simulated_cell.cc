#include "tests/sched/simulated_cell.h"

#include <algorithm>
#include <utility>

namespace cowslipmast::sched {

namespace {

using std::chrono::milliseconds;

constexpr Duration kStep = milliseconds(10);
constexpr double kStepS = 0.01;
constexpr double kIdleTailMs = 4;
constexpr Duration kListEvery = milliseconds(700);
constexpr Duration kListAfterEnd = milliseconds(60);

double Seconds(TimePoint time) {
  return static_cast<double>(time.time_since_epoch().count()) / 1e6;
}

}  // namespace

StepSpec MakeStep(uint32_t count,
                  int64_t cores,
                  int64_t memory_mb,
                  double seconds) {
  StepSpec step;
  step.count = count;
  step.need.cpu = MilliCores(cores * 1000);
  step.need.memory = Mebibytes(memory_mb);
  step.estimate = Duration(static_cast<int64_t>(seconds * 1e6));
  return step;
}

JobSpec MakeJob(const std::string& id,
                const std::string& queue,
                std::vector<StepSpec> steps) {
  JobSpec spec;
  spec.id = JobId(id);
  spec.queue = QueueId(queue);
  spec.steps = std::move(steps);
  return spec;
}

FakeCell::FakeCell(const SchedulerOptions& options)
    : m_options(options), m_now(TimePoint(std::chrono::seconds(100))) {
  MakeScheduler();
  m_scheduler->FinishRestore(m_now);
}

void FakeCell::MakeScheduler() {
  ++m_epoch;
  m_scheduler = Scheduler::Make(m_options, m_now);
  m_scheduler->SetPolicy(m_policy, m_now);
}

void FakeCell::AddWorkers(int count, int64_t cores, int64_t memory_mb) {
  for (int i = 0; i < count; ++i) {
    FakeWorker worker;
    worker.info.id = WorkerId("w" + std::to_string(m_workers.size()));
    worker.info.service = ServiceId("desk");
    worker.info.rack = RackId("r" + std::to_string(m_workers.size() / 8));
    worker.info.data_centre = DataCentreId("cebu");
    worker.info.capacity.cpu = MilliCores(cores * 1000);
    worker.info.capacity.memory = Mebibytes(memory_mb);
    worker.next_listing = m_now;
    m_scheduler->UpsertWorker(worker.info, m_now);
    m_workers.push_back(std::move(worker));
  }
}

void FakeCell::SetQueue(const std::string& queue, const QueuePolicy& policy) {
  m_policy.queues[QueueId(queue)] = policy;
  m_scheduler->SetPolicy(m_policy, m_now);
}

void FakeCell::Submit(JobSpec spec) {
  spec.accepted = WallTime(m_now.time_since_epoch());
  m_jobs.emplace(spec.id, spec);
  m_scheduler->AddJob(spec, m_now, spec.accepted);
}

void FakeCell::Cancel(const std::string& job) {
  m_cancelled.insert(JobId(job));
  m_scheduler->CancelJob(JobId(job), m_now);
}

void FakeCell::RemoveFromList(size_t index) {
  m_scheduler->RemoveWorker(m_workers[index].info.id, m_now);
}

void FakeCell::Announce(size_t index) {
  m_scheduler->UpsertWorker(m_workers[index].info, m_now);
}

void FakeCell::Restart(size_t index) {
  FakeWorker& worker = m_workers[index];
  worker.running.clear();
  worker.highest.clear();
  worker.ended.clear();
  worker.last_end = 0;
  worker.fence = 0;
  worker.clock_ms = 0;
  worker.lease_end_ms = 0;
  ++worker.born_ms;
  worker.up = true;
}

void FakeCell::TakeOver() {
  m_pending.reset();
  MakeScheduler();
  for (const auto& [id, spec] : m_jobs)
    m_scheduler->AddJob(spec, m_now, WallTime(m_now.time_since_epoch()));
  for (const auto& [key, value] : m_stored)
    m_scheduler->RestoreProgress({key, value});
  for (const JobId& id : m_cancelled)
    m_scheduler->CancelJob(id, m_now);
  m_scheduler->FinishRestore(m_now);
  for (FakeWorker& worker : m_workers) {
    m_scheduler->UpsertWorker(worker.info, m_now);
    worker.next_listing = m_now;
  }
}

void FakeCell::Run(Duration duration) {
  const TimePoint end = m_now + duration;
  while (m_now < end)
    Step();
}

void FakeCell::RunUntilEnd(const std::string& job, Duration limit) {
  const TimePoint end = m_now + limit;
  while (m_now < end && !EndOf(job))
    Step();
}

void FakeCell::Step() {
  m_now += kStep;
  for (FakeWorker& worker : m_workers)
    AdvanceWorker(worker);
  Act();
  for (FakeWorker& worker : m_workers) {
    if (m_now >= worker.next_listing)
      List(worker);
  }
  if (!m_pending)
    DecideNext();
  for (const auto& [id, spec] : m_jobs) {
    const auto state = m_scheduler->StateOf(id);
    if (state && *state != JobState::kQueued && *state != JobState::kActive)
      m_ends.emplace(id, m_now);
  }
}

void FakeCell::EndRun(FakeWorker& worker, const TaskName& task, EndKind how) {
  const FakeRun run = worker.running.at(task);
  worker.running.erase(task);
  worker.highest[task] = std::max(worker.highest[task], run.run);
  const std::string saved = SpecOf(task).checkpointing
                                ? std::to_string(static_cast<int>(
                                      (run.work_s - run.work_left_s) * 1000))
                                : "";
  worker.ended.push_back({++worker.last_end, task, run.run, how, saved});
  worker.next_listing = std::min(worker.next_listing, m_now + kListAfterEnd);
  if (how == EndKind::kDone)
    m_verdict.done.insert(task);
}

void FakeCell::AdvanceWorker(FakeWorker& worker) {
  if (!worker.up)
    return;
  worker.clock_ms += kStepS * 1000 * worker.clock_rate;
  std::vector<std::pair<TaskName, EndKind>> ends;
  for (auto& [task, run] : worker.running) {
    if (worker.clock_ms >= worker.lease_end_ms) {
      ends.emplace_back(task, EndKind::kLapsed);
      continue;
    }
    if (worker.stands_still || SpecOf(task).lasting)
      continue;
    run.work_left_s -= kStepS * run.pace / 100.0;
    if (run.work_left_s <= 0)
      ends.emplace_back(task, run.fails ? EndKind::kFailed : EndKind::kDone);
  }
  for (const auto& [task, how] : ends)
    EndRun(worker, task, how);
  UpdateTails(worker);
}

void FakeCell::UpdateTails(FakeWorker& worker) {
  worker.tails.clear();
  if (!own_load_of)
    return;
  for (const auto& [task, run] : worker.running) {
    const StepSpec& spec = SpecOf(task);
    if (spec.latency_target.count() == 0)
      continue;
    double load = own_load_of(task, Seconds(m_now));
    double pressed = 0;
    for (const auto& [other, filling] : worker.running) {
      if (!SpecOf(other).fills)
        continue;
      const double share =
          static_cast<double>(SpecOf(other).need.cpu.count()) /
          static_cast<double>(worker.info.capacity.cpu.count());
      pressed += pressure_of(SpecOf(other).image.value(), spec.image.value()) *
                 share * filling.pace / 100.0;
    }
    const double target =
        static_cast<double>(spec.latency_target.count()) / 1000.0;
    const double tail = kIdleTailMs / (1 - std::min(0.98, load + pressed));
    worker.tails[task] = tail;
    double& over = m_over_target[task];
    over = tail > target && pressed > 0 ? over + kStepS : 0;
    if (over > 0)
      m_verdict.tail_over_target_s += kStepS;
    m_verdict.longest_over_target_s =
        std::max(m_verdict.longest_over_target_s, over);
  }
}

void FakeCell::List(FakeWorker& worker) {
  worker.next_listing = m_now + kListEvery;
  const auto lease = m_scheduler->LeaseEnd(worker.info.id, m_now);
  if (!worker.up || !worker.reachable) {
    m_scheduler->OnSilence(worker.info.id, m_now);
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
    worker.next_listing = m_now + kStep;
  }
  const uint64_t seen = m_scheduler->AcknowledgedEnds(worker.info.id);
  std::erase_if(worker.ended, [seen](const EndedTask& ended) {
    return ended.number <= seen;
  });
  WorkerListing listing;
  listing.clock = WorkerClock(static_cast<int64_t>(worker.clock_ms));
  listing.born_ms = worker.born_ms;
  listing.ended = worker.ended;
  for (const auto& [task, run] : worker.running) {
    RunningTask running{.task = task,
                        .run = run.run,
                        .checkpoint = "",
                        .percent = 0,
                        .load = std::nullopt};
    const StepSpec& spec = SpecOf(task);
    running.percent =
        spec.lasting
            ? 100
            : static_cast<uint32_t>(100 * (1 - run.work_left_s / run.work_s));
    if (spec.latency_target.count() > 0 && worker.tails.count(task) > 0)
      running.load = static_cast<int64_t>(worker.tails.at(task));
    else if (spec.fills)
      running.load = spec.need.cpu.count() * run.pace / 100;
    listing.running.push_back(running);
  }
  m_scheduler->OnListing(worker.info.id, listing, m_now - milliseconds(1),
                         m_now);
}

void FakeCell::DecideNext() {
  m_pending = m_scheduler->MakePlan(m_now, WallTime(m_now.time_since_epoch()));
  for (const StopCommand& stop : m_pending->stops)
    Stop(stop);
  for (const PaceCommand& pace : m_pending->paces)
    Pace(pace);
}

// The plan of the step before is stored by now.
void FakeCell::Act() {
  if (!m_pending || !store_up)
    return;
  for (const ProgressRecord& record : m_pending->records) {
    if (record.value.empty())
      m_stored.erase(record.key);
    else
      m_stored[record.key] = record.value;
  }
  m_scheduler->OnStored(m_now);
  const std::vector<StartCommand> starts = m_pending->starts;
  m_pending.reset();
  for (const StartCommand& start : starts)
    Start(start);
}

FakeWorker* FakeCell::Find(const WorkerId& id) {
  for (FakeWorker& worker : m_workers) {
    if (worker.info.id == id)
      return &worker;
  }
  return nullptr;
}

void FakeCell::Start(const StartCommand& command) {
  if (!m_scheduler->IsStillWanted(command)) {
    m_scheduler->OnStartSkipped(command, m_now);
    return;
  }
  FakeWorker* worker = Find(command.worker);
  const auto lease = m_scheduler->LeaseEnd(command.worker, m_now);
  if (worker == nullptr || !worker->up || !worker->reachable || !lease) {
    m_scheduler->OnStartUnknown(command, m_now);
    return;
  }
  const auto highest = worker->highest.find(command.task);
  if (highest != worker->highest.end() && command.run <= highest->second) {
    m_scheduler->OnStartRefused(command, StartRefusal::kOldRun, m_now);
    return;
  }
  Resources used;
  for (const auto& [task, run] : worker->running) {
    Resources need = SpecOf(task).need;
    if (SpecOf(task).fills)
      need.cpu = MilliCores(0);
    used += need;
  }
  Resources need = SpecOf(command.task).need;
  if (SpecOf(command.task).fills)
    need.cpu = MilliCores(0);
  if (!Fits(need, worker->info.capacity - used)) {
    ++m_verdict.refused_for_room;
    m_scheduler->OnStartRefused(command, StartRefusal::kNoRoom, m_now);
    return;
  }
  JudgeStart(*worker, command);
  worker->lease_end_ms =
      std::max(worker->lease_end_ms, static_cast<double>(lease->count()));
  FakeRun run;
  run.run = command.run;
  run.work_s =
      work_of
          ? work_of(command.task)
          : static_cast<double>(SpecOf(command.task).estimate.count()) / 1e6;
  run.work_left_s = run.work_s;
  if (!command.checkpoint.empty())
    run.work_left_s -= std::stod(command.checkpoint) / 1000.0;
  run.fails = worker->fails_all;
  run.started = m_now;
  worker->running[command.task] = run;
  m_scheduler->OnStarted(command, m_now);
}

void FakeCell::Stop(const StopCommand& command) {
  FakeWorker* worker = Find(command.worker);
  if (worker == nullptr || !worker->up || !worker->reachable)
    return;
  const auto run = worker->running.find(command.task);
  if (run != worker->running.end() && run->second.run == command.run)
    EndRun(*worker, command.task, EndKind::kStopped);
  else
    worker->highest[command.task] =
        std::max(worker->highest[command.task], command.run);
  m_scheduler->OnStopped(command, m_now);
}

void FakeCell::Pace(const PaceCommand& command) {
  FakeWorker* worker = Find(command.worker);
  if (worker == nullptr || !worker->up || !worker->reachable) {
    m_scheduler->OnPaceUnknown(command);
    return;
  }
  const auto run = worker->running.find(command.task);
  if (run != worker->running.end())
    run->second.pace = command.percent;
}

void FakeCell::Break(const std::string& rule, const TaskName& task) {
  m_verdict.broken.push_back(rule + " " + task.job.value() + "." +
                             std::to_string(task.step) + "." +
                             std::to_string(task.index));
}

void FakeCell::JudgeStart(const FakeWorker& worker,
                          const StartCommand& command) {
  const TaskName& task = command.task;
  ++m_verdict.starts[task];
  for (const FakeWorker& other : m_workers) {
    if (other.up && other.running.count(task) > 0)
      Break("runs twice", task);
  }
  if (m_verdict.done.count(task) > 0 && !SpecOf(task).lasting)
    Break("started after it was done", task);
  if (m_cancelled.count(task.job) > 0)
    Break("started after its job was cancelled", task);
  if (worker.info.draining)
    Break("started on a draining worker", task);
  for (const uint32_t earlier : SpecOf(task).depends_on) {
    for (uint32_t i = 0; i < m_jobs.at(task.job).steps[earlier].count; ++i) {
      if (m_verdict.done.count({task.job, task.iteration, earlier, i}) == 0)
        Break("started before an earlier step was done", task);
    }
  }
}

const StepSpec& FakeCell::SpecOf(const TaskName& task) const {
  return m_jobs.at(task.job).steps[task.step];
}

std::optional<JobState> FakeCell::StateOf(const std::string& job) const {
  return m_scheduler->StateOf(JobId(job));
}

std::optional<TimePoint> FakeCell::EndOf(const std::string& job) const {
  const auto found = m_ends.find(JobId(job));
  if (found == m_ends.end())
    return std::nullopt;
  return found->second;
}

size_t FakeCell::CountRunning(const std::string& job) const {
  size_t count = 0;
  for (const FakeWorker& worker : m_workers) {
    if (!worker.up)
      continue;
    for (const auto& [task, run] : worker.running)
      count += task.job == JobId(job) ? 1 : 0;
  }
  return count;
}

std::optional<size_t> FakeCell::PlaceOf(const TaskName& task) const {
  for (size_t i = 0; i < m_workers.size(); ++i) {
    if (m_workers[i].running.count(task) > 0)
      return i;
  }
  return std::nullopt;
}

}  // namespace cowslipmast::sched
