// What simulated workers do with the runs that they are told to start.

#include <algorithm>
#include <utility>

#include "tests/sched/simulated_cell.h"

namespace cowslipmast::sched {

namespace {

constexpr double kTimeStepS = 0.01;
constexpr double kIdleTailMs = 4;
constexpr Duration kListingDelayAfterEnd = std::chrono::milliseconds(60);

double Seconds(TimePoint time) {
  return static_cast<double>(time.time_since_epoch().count()) / 1e6;
}

}  // namespace

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

void SimulatedCell::Start(const StartRunCommand& command) {
  if (!m_scheduler->IsStillWanted(command)) {
    m_scheduler->OnStartSkipped(command, m_now);
    return;
  }
  const auto lease = m_scheduler->LeaseEnd(command.worker, m_now);
  const SimulatedWorker* other = Find(command.worker.id);
  if (other != nullptr && other->up && other->reachable &&
      other->start_time_ms != command.worker.start_time_ms) {
    m_scheduler->OnStartRefused(command, StartRefusal::kOtherInstance, m_now);
    m_scheduler->OnInstanceEnded(command.worker, m_now);
    return;
  }
  SimulatedWorker* worker = FindReachable(command.worker);
  if (worker == nullptr || !lease) {
    m_observations.unanswered_starts[command.task] = m_now;
    m_scheduler->OnStartUnknown(command, m_now);
    return;
  }
  if (worker->refuses_starts) {
    m_scheduler->OnStartRefused(command, StartRefusal::kUnhealthy, m_now);
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
  SimulatedWorker* worker = FindReachable(command.worker);
  if (worker == nullptr)
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
  SimulatedWorker* worker = FindReachable(command.worker);
  if (worker == nullptr || loses_paces) {
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
  const bool is_done = m_observations.done.count(task) > 0 ||
                       (is_done_elsewhere && is_done_elsewhere(task));
  if (is_done && !SpecOf(task).long_running)
    AddViolation("started after it was done", task);
  if (m_cancelled.count(task.job) > 0)
    AddViolation("started after its job was cancelled", task);
  if (worker.info.draining)
    AddViolation("started on a draining worker", task);
  for (const uint32_t earlier : SpecOf(task).depends_on) {
    for (uint32_t i = 0; i < m_jobs.at(task.job).steps[earlier].count; ++i) {
      const TaskName before{task.job, task.iteration, earlier, i};
      if (m_observations.done.count(before) == 0 &&
          !(is_done_elsewhere && is_done_elsewhere(before)))
        AddViolation("started before a step that it depends on was done", task);
    }
  }
}

}  // namespace cowslipmast::sched
