#include "tests/placement/placement_simulation.h"

#include <algorithm>
#include <variant>

#include "src/daemon/chart_files.h"
#include "src/fold/apply.h"

namespace cowslipmast {

namespace {

constexpr Duration kStep = std::chrono::milliseconds(50);
constexpr Duration kTimeout = std::chrono::seconds(1);
constexpr Duration kAppendDelay = std::chrono::milliseconds(100);
const DataCentreId kBulacan("bulacan");

std::shared_ptr<const PlacementCharts> LoadTestCharts() {
  ChartFileError file_error;
  auto charts = LoadCharts(COWSLIPMAST_CHARTS_DIR, file_error);
  PlacementChartError error;
  return MakePlacementCharts((*charts)["task"], (*charts)["lease"], error);
}

}  // namespace

PlacementSimulation::PlacementSimulation(size_t count, uint64_t seed)
    : m_now(std::chrono::seconds(1000)),
      m_random(seed),
      m_charts(LoadTestCharts()) {
  const Resources size{MilliCores(4000), Mebibytes(4000), Accelerators(0)};
  control.config.data_centres[kBulacan] = {kBulacan, RegionId("luzon")};
  control.config.teams[TeamId("pillows")] = {TeamId("pillows"), size};
  for (size_t i = 0; i < count; ++i) {
    VmInfo vm;
    vm.id = VmId("w" + std::to_string(i));
    vm.data_centre = kBulacan;
    vm.resources = size;
    vms.push_back(vm);
    workers[vm.id].capacity = size;
    workers[vm.id].clock_error =
        Delay(kMaxClockDifference) - kMaxClockDifference / 2;
  }
}

void PlacementSimulation::SubmitSpec(const JobSpec& spec) {
  ApplyControl(JobSubmitted{spec});
  submitted[spec.id] = spec.task_count;
}

void PlacementSimulation::Submit(const std::string& job,
                                 uint32_t tasks,
                                 Duration run_time) {
  JobSpec spec;
  spec.id = JobId(job);
  spec.team = TeamId("pillows");
  spec.task_count = tasks;
  spec.resources = {MilliCores(1500), Mebibytes(1000), Accelerators(0)};
  spec.run_time = run_time;
  SubmitSpec(spec);
}

void PlacementSimulation::Cancel(const std::string& job) {
  ApplyControl(JobCancelled{JobId(job)});
}

void PlacementSimulation::SetIn(bool in) {
  control.config.data_centres[kBulacan].availability =
      in ? DataCentreAvailability::kInService
         : DataCentreAvailability::kOutOfService;
  control.next = control.next.Next();
  if (in)
    m_out_since.reset();
  else if (!m_out_since)
    m_out_since = m_now;
}

void PlacementSimulation::ChangeOwner(Duration delay, bool old_one_lives) {
  if (!m_owners.empty())
    owner().alive = old_one_lives;
  Ownership& ownership = control.ownership[ResourceId(kBulacan)];
  ownership.owner = ProcessId("p" + std::to_string(m_owners.size()));
  ownership.epoch = ownership.epoch.Next();
  control.next = control.next.Next();
  Owner next;
  next.placement =
      MakePlacement(kBulacan, ownership.epoch, {}, m_charts, m_now + delay);
  next.usable_from = m_now + delay;
  m_owners.push_back(std::move(next));
}

void PlacementSimulation::PauseOwner(Duration duration) {
  owner().paused_until = m_now + duration;
}

void PlacementSimulation::Partition(size_t index, Duration duration) {
  m_unreachable_until[vms[index].id] = m_now + duration;
}

void PlacementSimulation::Restart(size_t index) {
  worker(index).Restart();
}

void PlacementSimulation::StopStore(Duration duration) {
  m_store_back = m_now + duration;
}

void PlacementSimulation::Run(Duration duration) {
  const TimePoint end = m_now + duration;
  while (m_now < end && violation.empty())
    Step();
}

void PlacementSimulation::RunUntilDone(Duration limit) {
  const TimePoint end = m_now + limit;
  while (m_now < end && violation.empty() && !AllDone())
    Step();
}

FakeWorker& PlacementSimulation::worker(size_t index) {
  return workers.at(vms[index].id);
}

TaskProgress PlacementSimulation::ProgressOfTask(const std::string& job,
                                                 uint32_t index) const {
  const auto entry = control.jobs.find(JobId(job));
  const auto ended = m_ended_progress.find(JobId(job));
  std::map<uint32_t, TaskProgress> all;
  if (entry != control.jobs.end())
    all = ProgressOf(entry->second, data_centre);
  else if (ended != m_ended_progress.end())
    all = ended->second;
  const auto found = all.find(index);
  return found == all.end() ? TaskProgress() : found->second;
}

bool PlacementSimulation::AllDone() const {
  for (const auto& [id, task_count] : submitted) {
    const auto entry = control.jobs.find(id);
    const EndedJob* ended = FindEndedJob(control, id);
    if (entry == control.jobs.end() && !ended)
      return false;
    const bool cancelled = ended ? ended->cancelled : entry->second.cancelled;
    for (uint32_t i = 0; i < task_count && !cancelled; ++i) {
      if (!ProgressOfTask(id.value(), i).finished)
        return false;
    }
  }
  return CountRunning() == 0;
}

size_t PlacementSimulation::CountRunning() const {
  size_t count = 0;
  for (const auto& [id, worker] : workers)
    count += worker.runs.size();
  return count;
}

int PlacementSimulation::MostStartsOfOneAttempt() const {
  std::map<std::pair<TaskId, Attempt>, int> total;
  int most = 0;
  for (const auto& [id, worker] : workers) {
    for (const auto& [attempt, count] : worker.accepted)
      most = std::max(most, total[attempt] += count);
  }
  return most;
}

void PlacementSimulation::Step() {
  m_now += kStep;
  for (auto& [id, worker] : workers)
    worker.Advance(m_now);
  Deliver();
  DeliverAppends();
  DecideAll();
  Check();
}

bool PlacementSimulation::Chance(double share) {
  return std::uniform_real_distribution<double>(0, 1)(m_random) < share;
}

Duration PlacementSimulation::Delay(Duration limit) {
  return Duration(
      std::uniform_int_distribution<int64_t>(0, limit.count())(m_random));
}

bool PlacementSimulation::IsReachable(const VmId& id) const {
  const auto found = m_unreachable_until.find(id);
  return found == m_unreachable_until.end() || found->second <= m_now;
}

Duration PlacementSimulation::DelayOf(const WorkerCommand& command) {
  if (start_delay && std::holds_alternative<StartCommand>(command.action))
    return *start_delay;
  if (renewal_delay && std::holds_alternative<RenewCommand>(command.action))
    return *renewal_delay;
  if (!Chance(late_share))
    return Delay(2 * kStep);
  // Some commands arrive just after the sender's time-out, others much later.
  return Delay(std::chrono::seconds(Chance(0.5) ? 2 : 20));
}

void PlacementSimulation::Send(size_t owner, const WorkerCommand& command) {
  const Duration delay = DelayOf(command);
  const bool arrives = IsReachable(command.worker) && !Chance(lost_share);
  if (arrives)
    m_messages.push_back({m_now + delay, owner, command, {}});
  if (!arrives || delay > kTimeout)
    m_messages.push_back(
        {m_now + kTimeout, owner, command, WorkerReply{}});  // timed out
}

void PlacementSimulation::Arrive(const Message& message) {
  if (!message.reply) {
    FakeWorker& worker = workers.at(message.command.worker);
    const WorkerReply reply = worker.Handle(message.command, m_now);
    const bool was_start =
        std::holds_alternative<StartCommand>(message.command.action);
    if (was_start && reply.kind == WorkerReplyKind::kOk && m_out_since &&
        m_now > *m_out_since + kMaxProofAgeForStart)
      violation = "start in a data centre that is out of service";
    if (m_now - message.command.sent_at > kTimeout)
      return;
    const bool lost = Chance(lost_share);
    m_messages.push_back({lost ? m_now + kTimeout : m_now + kStep,
                          message.owner, message.command,
                          lost ? WorkerReply{} : reply});
    return;
  }
  Owner& owner = m_owners[message.owner];
  if (owner.alive)
    ApplyReply(owner.placement, MakeView(owner), message.command,
               *message.reply);
}

void PlacementSimulation::Deliver() {
  std::vector<Message> due;
  std::erase_if(m_messages, [&](const Message& message) {
    const Owner& owner = m_owners[message.owner];
    if (message.due > m_now || (message.reply && owner.paused_until))
      return false;
    due.push_back(message);
    return true;
  });
  for (const Message& message : due)
    Arrive(message);
}

void PlacementSimulation::ApplyOutcomeRecord(const Record& record) {
  const Epoch epoch = control.ownership[ResourceId(kBulacan)].epoch;
  const auto* outcomes = std::get_if<TaskOutcomes>(&record);
  const auto* ended = std::get_if<JobEnded>(&record);
  if (outcomes && outcomes->epoch == epoch)
    ApplyOutcomes(data_centre, *outcomes);
  if (ended && ended->epoch == epoch)
    DropTasks(data_centre, ended->job);
}

void PlacementSimulation::ApplyControl(const Record& record) {
  const auto* end = std::get_if<JobEnded>(&record);
  const auto job = end ? control.jobs.find(end->job) : control.jobs.end();
  JobEntry before;
  if (job != control.jobs.end())
    before = job->second;
  const bool applied = ApplyControlRecord(control, control.next, record);
  control.next = control.next.Next();
  if (end && applied)
    CheckEnd(*end, before);
}

// Checks that no task of an ended job runs and that no outcome is missing.
void PlacementSimulation::CheckEnd(const JobEnded& end, const JobEntry& job) {
  const auto progress = ProgressOf(job, data_centre);
  m_ended_progress[end.job] = progress;
  const auto finished =
      std::count_if(progress.begin(), progress.end(),
                    [](const auto& item) { return item.second.finished; });
  if (finished != end.done + end.failed ||
      (!job.cancelled && finished != job.spec.task_count))
    violation = "job ended without its outcomes: " + end.job.value();
  for (const auto& [id, worker] : workers) {
    for (const auto& [task, run] : worker.runs) {
      if (task.job == end.job)
        violation = "job ended while a task runs: " + end.job.value();
    }
  }
}

void PlacementSimulation::DeliverAppends() {
  if (m_now < m_store_back)
    return;
  std::vector<Append> due;
  std::erase_if(m_appends, [&](const Append& append) {
    if (append.due > m_now)
      return false;
    due.push_back(append);
    return true;
  });
  for (const Append& append : due) {
    Owner& owner = m_owners[append.owner];
    if (append.outcomes) {
      ApplyOutcomeRecord(append.record);
      Refresh(owner);
      OutcomesAppended(owner.placement);
    } else {
      ApplyControl(append.record);
    }
  }
}

void PlacementSimulation::Refresh(Owner& owner) {
  if (m_now < m_store_back || owner.paused_until)
    return;
  owner.control = control;
  owner.data_centre = data_centre;
  owner.proof = m_now;
}

PlacementView PlacementSimulation::MakeView(const Owner& owner) const {
  const auto found = owner.control.ownership.find(ResourceId(kBulacan));
  const bool owns = found != owner.control.ownership.end() &&
                    found->second.epoch == owner.placement.epoch;
  const bool permitted = owns && m_now >= owner.usable_from && owner.proof &&
                         m_now - *owner.proof < kPermitDuration;
  return {.now = m_now,
          .wall_now = ToWall(m_now),
          .permitted = permitted,
          .draining = false,
          .proof = owner.proof,
          .outcome_proof = owner.proof,
          .control = owner.control,
          .data_centre = owner.data_centre,
          .vms = vms};
}

void PlacementSimulation::DecideAll() {
  for (size_t i = 0; i < m_owners.size(); ++i) {
    Owner& owner = m_owners[i];
    if (!owner.alive || (owner.paused_until && *owner.paused_until > m_now))
      continue;
    // An owner that resumes decides once with its state from before the pause.
    if (!owner.paused_until)
      Refresh(owner);
    owner.paused_until.reset();
    const auto decision = DecidePlacement(owner.placement, MakeView(owner));
    for (const WorkerCommand& command : decision.commands)
      Send(i, command);
    for (const Record& record : decision.control)
      m_appends.push_back({m_now + kAppendDelay, i, record, false});
    for (const Record& record : decision.outcomes)
      m_appends.push_back({m_now + kAppendDelay, i, record, true});
  }
}

void PlacementSimulation::Check() {
  std::set<TaskId> running;
  for (const auto& [id, worker] : workers) {
    if (!Fits(worker.Used(), worker.capacity))
      violation = "capacity exceeded on " + id.value();
    for (const auto& [task, run] : worker.runs) {
      if (!running.insert(task).second)
        violation = "task running on two workers: " + task.job.value() + "/" +
                    std::to_string(task.index);
    }
  }
}

}  // namespace cowslipmast
