#include "standins/worker/worker.h"

#include <algorithm>
#include <utility>

#include "src/core/strings.h"

namespace cowslipmast::standins {

namespace {

constexpr double kPercent = 100;
constexpr uint64_t kFullSpeedPercent = 100;

// A checkpoint holds the work done, in microseconds.
Duration ParseCheckpoint(const std::string& checkpoint) {
  return Duration(static_cast<int64_t>(ParseUnsigned(checkpoint).value_or(0)));
}

// Speed that throttling leaves, as a share of the full speed.
double ThrottledSpeed(const Lease& lease) {
  return static_cast<double>(lease.throttle_percent) / kPercent;
}

}  // namespace

Worker::Worker(const VmInfo& vm,
               const KindTable& table,
               Judge& judge,
               const WorkerOptions& options)
    : m_vm(vm), m_table(table), m_judge(judge), m_options(options) {}

void Worker::Advance(TimePoint now) {
  while (!m_leases.empty()) {
    const auto next = std::min_element(
        m_leases.begin(), m_leases.end(),
        [this](const auto& a, const auto& b) { return EndOf(a) < EndOf(b); });
    const TimePoint end = EndOf(*next);
    if (end > now)
      break;
    ProgressTo(std::max(end, m_now));
    EndLease(static_cast<size_t>(next - m_leases.begin()), ResultAtEnd(*next));
  }
  ProgressTo(now);
  if (now - m_sampled_at >= m_options.usage_lag)
    SampleUsage();
}

bool Worker::Fence(Epoch epoch, Refusal& reason) {
  if (epoch < m_max_epoch) {
    reason = Refusal::kStaleEpoch;
    return false;
  }
  m_max_epoch = epoch;
  return true;
}

bool Worker::Start(const StartCommand& command,
                   WallTime wall_now,
                   Refusal& reason) {
  if (!m_careless && !MayStart(command, wall_now, reason))
    return false;
  m_leases.push_back(MakeLease(command));
  m_judge.OnStart({.worker = m_vm.id.value(),
                   .data_centre = m_vm.data_centre,
                   .run = command.run,
                   .now = m_now,
                   .late = wall_now > command.not_after,
                   .used = Used(),
                   .capacity = m_vm.resources});
  return true;
}

bool Worker::MayStart(const StartCommand& command,
                      WallTime wall_now,
                      Refusal& reason) {
  if (!Fence(command.epoch, reason))
    return false;
  if (wall_now > command.not_after) {
    reason = Refusal::kTooLate;
    return false;
  }
  if (IsHere(command.run)) {
    reason = Refusal::kAlreadyHere;
    return false;
  }
  if (!Fits(Used() + command.resources, m_vm.resources)) {
    reason = Refusal::kNoCapacity;
    return false;
  }
  return true;
}

bool Worker::Renew(Epoch epoch, Duration lease, Refusal& reason) {
  if (!Fence(epoch, reason))
    return false;
  for (Lease& held : m_leases) {
    held.expires_at = m_now + lease;
    held.epoch = epoch;
  }
  return true;
}

bool Worker::Throttle(Epoch epoch,
                      const TaskId& task,
                      uint64_t percent,
                      Refusal& reason) {
  if (!Fence(epoch, reason))
    return false;
  Lease* lease = FindLease(task);
  if (!lease) {
    reason = Refusal::kUnknownTask;
    return false;
  }
  lease->throttle_percent = std::min(percent, kFullSpeedPercent);
  return true;
}

bool Worker::Checkpoint(Epoch epoch, const TaskId& task, Refusal& reason) {
  if (!Fence(epoch, reason))
    return false;
  Lease* lease = FindLease(task);
  if (!lease) {
    reason = Refusal::kUnknownTask;
    return false;
  }
  if (!lease->checkpointed_at)
    lease->checkpointed_at = m_now + m_options.checkpoint_time;
  return true;
}

bool Worker::Stop(Epoch epoch, const TaskId& task, Refusal& reason) {
  if (!Fence(epoch, reason))
    return false;
  Lease* lease = FindLease(task);
  if (!lease) {
    reason = Refusal::kUnknownTask;
    return false;
  }
  lease->checkpointed_at.reset();
  EndLease(static_cast<size_t>(lease - m_leases.data()), TaskResult::kEvicted);
  return true;
}

bool Worker::Ack(Epoch epoch,
                 const std::vector<TaskRun>& runs,
                 Refusal& reason) {
  if (!Fence(epoch, reason))
    return false;
  std::erase_if(m_finished, [&runs](const FinishedTask& task) {
    return std::find(runs.begin(), runs.end(), task.run) != runs.end();
  });
  return true;
}

void Worker::Restart() {
  while (!m_leases.empty())
    EndLease(m_leases.size() - 1, TaskResult::kLost);
}

Resources Worker::Used() const {
  Resources used;
  for (const Lease& lease : m_leases)
    used += lease.resources;
  return used;
}

Lease* Worker::FindLease(const TaskId& task) {
  const auto found = std::find_if(
      m_leases.begin(), m_leases.end(),
      [&task](const Lease& held) { return held.run.task == task; });
  return found == m_leases.end() ? nullptr : &*found;
}

bool Worker::IsHere(const TaskRun& run) {
  if (FindLease(run.task))
    return true;
  return std::any_of(
      m_finished.begin(), m_finished.end(),
      [&run](const FinishedTask& task) { return task.run == run; });
}

Lease Worker::MakeLease(const StartCommand& command) const {
  const KindBehaviour behaviour = m_table.BehaviourOf(command.kind);
  Lease lease;
  lease.run = command.run;
  lease.epoch = command.epoch;
  lease.kind = command.kind;
  lease.resources = command.resources;
  lease.expires_at = m_now + command.lease;
  lease.work_done = ParseCheckpoint(command.checkpoint);
  const Duration work = behaviour.run_time.value_or(command.run_time);
  if (work.count() > 0)
    lease.work = work;
  lease.fails = m_fails_all || behaviour.fails;
  if (m_fails_all)
    lease.work = lease.work_done + m_options.failure_time;
  lease.usage_at = m_now;
  return lease;
}

double Worker::SpeedOf(const Lease& lease) const {
  if (lease.checkpointed_at)
    return 0;
  double slowdown = 1;
  for (const Lease& other : m_leases) {
    if (&other == &lease)
      continue;
    const double full = m_table.Slowdown(lease.kind, other.kind);
    slowdown *= 1 + (full - 1) * ThrottledSpeed(other);
  }
  return ThrottledSpeed(lease) / slowdown;
}

// Earliest moment at which the task ends, if nothing else changes before.
TimePoint Worker::EndOf(const Lease& lease) const {
  if (lease.checkpointed_at)
    return std::min(lease.expires_at, *lease.checkpointed_at);
  const double speed = SpeedOf(lease);
  if (!lease.work || speed <= 0)
    return lease.expires_at;
  const auto left =
      static_cast<double>((*lease.work - lease.work_done).count());
  // A microsecond more, so that rounding does not leave work undone.
  const Duration rest(static_cast<int64_t>(std::max(left, 0.0) / speed) + 1);
  return std::min(lease.expires_at, m_now + rest);
}

TaskResult Worker::ResultAtEnd(const Lease& lease) const {
  if (lease.checkpointed_at && *lease.checkpointed_at <= m_now)
    return TaskResult::kEvicted;
  // Rounding may leave a microsecond of work undone when the end is reached.
  if (lease.work &&
      (lease.work_done >= *lease.work || m_now < lease.expires_at))
    return lease.fails ? TaskResult::kFailed : TaskResult::kDone;
  return TaskResult::kLost;
}

void Worker::ProgressTo(TimePoint now) {
  const auto elapsed = static_cast<double>((now - m_now).count());
  std::vector<Duration> progress;
  progress.reserve(m_leases.size());
  for (const Lease& lease : m_leases)
    progress.emplace_back(static_cast<int64_t>(elapsed * SpeedOf(lease)));
  for (size_t i = 0; i < m_leases.size(); ++i)
    m_leases[i].work_done += progress[i];
  m_now = now;
}

void Worker::EndLease(size_t position, TaskResult result) {
  const Lease lease = m_leases[position];
  m_leases.erase(m_leases.begin() + static_cast<std::ptrdiff_t>(position));
  FinishedTask finished{lease.run, result, ""};
  if (result == TaskResult::kEvicted && lease.checkpointed_at)
    finished.checkpoint = std::to_string(lease.work_done.count());
  m_finished.push_back(std::move(finished));
  m_judge.OnEnd(m_vm.id.value(), lease.run, result);
}

void Worker::SampleUsage() {
  m_sampled_at = m_now;
  for (Lease& lease : m_leases) {
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
