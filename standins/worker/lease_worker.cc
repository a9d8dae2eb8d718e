#include "standins/worker/lease_worker.h"

#include <algorithm>
#include <utility>

#include "src/core/strings.h"

namespace cowslipmast::standins {

namespace {

constexpr double kPercent = 100;
constexpr uint64_t kUnthrottledPercent = 100;

// A checkpoint is the work done, in microseconds.
Duration ParseCheckpoint(const std::string& checkpoint) {
  return Duration(static_cast<int64_t>(ParseUnsigned(checkpoint).value_or(0)));
}

// Returns the speed under throttling as a share of the full speed.
double ThrottleFactor(const TaskLease& lease) {
  return static_cast<double>(lease.throttle_percent) / kPercent;
}

}  // namespace

LeaseWorker::LeaseWorker(const VmInfo& vm,
                         const TaskKindTable& table,
                         InvariantChecker& checker,
                         const WorkerOptions& options)
    : m_vm(vm), m_table(table), m_checker(checker), m_options(options) {}

void LeaseWorker::Advance(TimePoint now) {
  while (!m_leases.empty()) {
    const auto next = std::min_element(m_leases.begin(), m_leases.end(),
                                       [this](const auto& a, const auto& b) {
                                         return EndTimeOf(a) < EndTimeOf(b);
                                       });
    const TimePoint end = EndTimeOf(*next);
    if (end > now)
      break;
    AdvanceProgress(std::max(end, m_now));
    EndLease(static_cast<size_t>(next - m_leases.begin()), OutcomeAtEnd(*next));
  }
  AdvanceProgress(now);
  if (now - m_sampled_at >= m_options.usage_lag)
    SampleUsage();
}

bool LeaseWorker::Fence(Epoch epoch, CommandRefusal& reason) {
  if (epoch < m_max_epoch) {
    reason = CommandRefusal::kStaleEpoch;
    return false;
  }
  m_max_epoch = epoch;
  return true;
}

bool LeaseWorker::Start(const StartTaskCommand& command,
                        WallTime wall_now,
                        CommandRefusal& reason) {
  if (!m_skip_start_checks && !CheckStart(command, wall_now, reason))
    return false;
  m_leases.push_back(MakeLease(command));
  m_checker.OnStart({.worker = m_vm.id.value(),
                     .data_centre = m_vm.data_centre,
                     .run = command.run,
                     .now = m_now,
                     .late = wall_now > command.not_after,
                     .used = UsedResources(),
                     .capacity = m_vm.resources});
  return true;
}

bool LeaseWorker::CheckStart(const StartTaskCommand& command,
                             WallTime wall_now,
                             CommandRefusal& reason) {
  if (!Fence(command.epoch, reason))
    return false;
  if (wall_now > command.not_after) {
    reason = CommandRefusal::kStartDeadlinePassed;
    return false;
  }
  if (WasStarted(command.run)) {
    reason = CommandRefusal::kAlreadyStarted;
    return false;
  }
  if (!Fits(UsedResources() + command.resources, m_vm.resources)) {
    reason = CommandRefusal::kNoCapacity;
    return false;
  }
  return true;
}

bool LeaseWorker::Renew(Epoch epoch, Duration lease, CommandRefusal& reason) {
  if (!Fence(epoch, reason))
    return false;
  for (TaskLease& held : m_leases) {
    held.expires_at = m_now + lease;
    held.epoch = epoch;
  }
  return true;
}

bool LeaseWorker::Throttle(Epoch epoch,
                           const TaskId& task,
                           uint64_t percent,
                           CommandRefusal& reason) {
  if (!Fence(epoch, reason))
    return false;
  TaskLease* lease = FindLease(task);
  if (!lease) {
    reason = CommandRefusal::kUnknownTask;
    return false;
  }
  lease->throttle_percent = std::min(percent, kUnthrottledPercent);
  return true;
}

bool LeaseWorker::Checkpoint(Epoch epoch,
                             const TaskId& task,
                             CommandRefusal& reason) {
  if (!Fence(epoch, reason))
    return false;
  TaskLease* lease = FindLease(task);
  if (!lease) {
    reason = CommandRefusal::kUnknownTask;
    return false;
  }
  if (!lease->checkpointed_at)
    lease->checkpointed_at = m_now + m_options.checkpoint_time;
  return true;
}

bool LeaseWorker::Stop(Epoch epoch,
                       const TaskId& task,
                       CommandRefusal& reason) {
  if (!Fence(epoch, reason))
    return false;
  TaskLease* lease = FindLease(task);
  if (!lease) {
    reason = CommandRefusal::kUnknownTask;
    return false;
  }
  lease->checkpointed_at.reset();
  EndLease(static_cast<size_t>(lease - m_leases.data()),
           LeaseOutcome::kEvicted);
  return true;
}

bool LeaseWorker::Ack(Epoch epoch,
                      const std::vector<TaskRun>& runs,
                      CommandRefusal& reason) {
  if (!Fence(epoch, reason))
    return false;
  std::erase_if(m_finished, [&runs](const FinishedTask& task) {
    return std::find(runs.begin(), runs.end(), task.run) != runs.end();
  });
  return true;
}

void LeaseWorker::Restart() {
  while (!m_leases.empty())
    EndLease(m_leases.size() - 1, LeaseOutcome::kLost);
}

Resources LeaseWorker::UsedResources() const {
  Resources used;
  for (const TaskLease& lease : m_leases)
    used += lease.resources;
  return used;
}

TaskLease* LeaseWorker::FindLease(const TaskId& task) {
  const auto found = std::find_if(
      m_leases.begin(), m_leases.end(),
      [&task](const TaskLease& held) { return held.run.task == task; });
  return found == m_leases.end() ? nullptr : &*found;
}

bool LeaseWorker::WasStarted(const TaskRun& run) {
  if (FindLease(run.task))
    return true;
  return std::any_of(
      m_finished.begin(), m_finished.end(),
      [&run](const FinishedTask& task) { return task.run == run; });
}

TaskLease LeaseWorker::MakeLease(const StartTaskCommand& command) const {
  const TaskKindBehaviour behaviour = m_table.BehaviourOf(command.kind);
  TaskLease lease;
  lease.run = command.run;
  lease.epoch = command.epoch;
  lease.kind = command.kind;
  lease.resources = command.resources;
  lease.expires_at = m_now + command.lease;
  lease.work_done = ParseCheckpoint(command.checkpoint);
  const Duration work = behaviour.run_time.value_or(command.run_time);
  if (work.count() > 0)
    lease.work = work;
  lease.fails = m_fail_all_tasks || behaviour.fails;
  if (m_fail_all_tasks)
    lease.work = lease.work_done + m_options.failure_time;
  lease.usage_at = m_now;
  return lease;
}

double LeaseWorker::SpeedOf(const TaskLease& lease) const {
  if (lease.checkpointed_at)
    return 0;
  double slowdown = 1;
  for (const TaskLease& other : m_leases) {
    if (&other == &lease)
      continue;
    const double full = m_table.Slowdown(lease.kind, other.kind);
    slowdown *= 1 + (full - 1) * ThrottleFactor(other);
  }
  return ThrottleFactor(lease) / slowdown;
}

// Returns the time at which the task ends unless something changes before.
TimePoint LeaseWorker::EndTimeOf(const TaskLease& lease) const {
  if (lease.checkpointed_at)
    return std::min(lease.expires_at, *lease.checkpointed_at);
  const double speed = SpeedOf(lease);
  if (!lease.work || speed <= 0)
    return lease.expires_at;
  const auto left =
      static_cast<double>((*lease.work - lease.work_done).count());
  // One microsecond is added so that rounding does not leave work undone.
  const Duration rest(static_cast<int64_t>(std::max(left, 0.0) / speed) + 1);
  return std::min(lease.expires_at, m_now + rest);
}

LeaseOutcome LeaseWorker::OutcomeAtEnd(const TaskLease& lease) const {
  if (lease.checkpointed_at && *lease.checkpointed_at <= m_now)
    return LeaseOutcome::kEvicted;
  // Rounding may leave a microsecond of work undone at the computed end.
  if (lease.work &&
      (lease.work_done >= *lease.work || m_now < lease.expires_at))
    return lease.fails ? LeaseOutcome::kFailed : LeaseOutcome::kDone;
  return LeaseOutcome::kLost;
}

void LeaseWorker::AdvanceProgress(TimePoint now) {
  const auto elapsed = static_cast<double>((now - m_now).count());
  std::vector<Duration> progress;
  progress.reserve(m_leases.size());
  for (const TaskLease& lease : m_leases)
    progress.emplace_back(static_cast<int64_t>(elapsed * SpeedOf(lease)));
  for (size_t i = 0; i < m_leases.size(); ++i)
    m_leases[i].work_done += progress[i];
  m_now = now;
}

void LeaseWorker::EndLease(size_t position, LeaseOutcome result) {
  const TaskLease lease = m_leases[position];
  m_leases.erase(m_leases.begin() + static_cast<std::ptrdiff_t>(position));
  FinishedTask finished{lease.run, result, ""};
  if (result == LeaseOutcome::kEvicted && lease.checkpointed_at)
    finished.checkpoint = std::to_string(lease.work_done.count());
  m_finished.push_back(std::move(finished));
  m_checker.OnEnd(m_vm.id.value(), lease.run, result);
}

void LeaseWorker::SampleUsage() {
  m_sampled_at = m_now;
  for (TaskLease& lease : m_leases) {
    const auto percent =
        static_cast<int64_t>(m_table.BehaviourOf(lease.kind).usage_percent);
    const auto speed = static_cast<int64_t>(lease.throttle_percent);
    lease.usage.cpu =
        MilliCores(lease.resources.cpu.count() * percent * speed / 10000);
    lease.usage.memory =
        Mebibytes(lease.resources.memory.count() * percent / 100);
    lease.usage.accelerators = lease.resources.accelerators;
    lease.usage_at = m_now;
  }
}

}  // namespace cowslipmast::standins
