#include <algorithm>

#include "src/placement/assignments.h"
#include "src/placement/decision_steps.h"
#include "src/placement/quarantine.h"
#include "src/placement/quota.h"
#include "src/placement/ramp_up.h"
#include "src/placement/task_lifecycle.h"

namespace cowslipmast {

namespace {

// Bounds the work of one decision; the remaining starts follow 100 ms later.
constexpr size_t kMaxStartsPerDecision = 200;
// A start command that is valid for less time would probably arrive too late
// and be refused.
constexpr Duration kMinStartValidity = std::chrono::milliseconds(100);

struct StartPass {
  PlacementState& placement;
  const PlacementView& view;
  PlacementDecision& decision;
  Duration start_validity{0};  // how long a start command is valid
  bool within_quota = true;
  std::map<TeamId, Resources> quotas;
  // Task sizes that fit on no worker now.
  std::vector<Resources> unplaceable_sizes;
  size_t starts = 0;
};

Resources FreeCapacity(const PlacementState& placement,
                       const TrackedWorker& worker,
                       bool latency_critical) {
  Resources free = worker.capacity - worker.reserved;
  if (placement.policy.size == SizePolicy::kDeclared || latency_critical ||
      worker.tasks.empty())
    return free;
  const int64_t reserve = placement.policy.reserve_percent;
  free.cpu -= MilliCores(worker.capacity.cpu.count() * reserve / 100);
  free.memory -= Mebibytes(worker.capacity.memory.count() * reserve / 100);
  return free;
}

bool AcceptsStarts(const TrackedWorker& worker, TimePoint now) {
  if (!worker.in_vm_list || !worker.fenced || !worker.listed_at ||
      worker.unreachable || worker.list_before_start)
    return false;
  return worker.state == VmServiceState::kInService || IsProbeDue(worker, now);
}

// Skips workers where the task failed as long as there are others.
TrackedWorker* FirstFit(StartPass& pass,
                        const TrackedJob& job,
                        const std::set<VmId>& failed_on) {
  TrackedWorker* fallback = nullptr;
  bool other_exists = false;
  for (auto& [id, worker] : pass.placement.workers) {
    if (!AcceptsStarts(worker, pass.view.now))
      continue;
    const bool failed_here = failed_on.contains(id);
    other_exists = other_exists ||
                   (!failed_here && Fits(job.spec.resources, worker.capacity));
    if (!Fits(job.spec.resources,
              FreeCapacity(pass.placement, worker, job.spec.latency_critical)))
      continue;
    if (!failed_here)
      return &worker;
    if (!fallback)
      fallback = &worker;
  }
  return other_exists ? nullptr : fallback;
}

StartCommand MakeStart(const StartPass& pass,
                       const TrackedJob& job,
                       const TaskId& task) {
  const TaskProgress progress =
      ProgressOfTask(job, pass.view.data_centre, task);
  StartCommand start;
  start.task = task;
  start.attempt = progress.attempt.Next();
  start.kind = job.spec.kind;
  start.resources = job.spec.resources;
  start.not_after = pass.view.wall_now + pass.start_validity;
  // The lease ends at most kMaxLeaseDuration after the command was sent,
  // however late the worker accepts it.
  start.lease = kMaxLeaseDuration - pass.start_validity - kMaxClockDifference;
  start.run_time = job.spec.run_time;
  start.checkpoint = progress.checkpoint;
  start.latency_critical = job.spec.latency_critical;
  return start;
}

void StartTask(StartPass& pass,
               const TrackedJob& job,
               const TaskId& task,
               TrackedWorker& worker) {
  PlacementState& placement = pass.placement;
  const TimePoint now = pass.view.now;
  const StartCommand start = MakeStart(pass, job, task);
  TaskAssignment assignment;
  assignment.task = task;
  assignment.attempt = start.attempt;
  assignment.worker = worker.id;
  assignment.phase = TaskPhase::kWaiting;
  StepTask(*placement.charts, TaskEvent::kStart, assignment.phase);
  assignment.team = job.spec.team;
  assignment.latency_critical = job.spec.latency_critical;
  assignment.declared = job.spec.resources;
  assignment.reserved = job.spec.resources;
  assignment.start_impossible_after =
      now + pass.start_validity + kMaxClockDifference;
  if (worker.tasks.empty()) {
    worker.next_renew = now + kLeaseRenewInterval;
    worker.next_contact =
        std::min(worker.next_contact, now + kWorkerListInterval);
  }
  worker.lease_until = std::max(worker.lease_until, now + kMaxLeaseDuration);
  if (worker.state == VmServiceState::kQuarantined)
    BeginProbe(task, now, worker);
  AddAssignment(placement, assignment);
  SpendRamp(job.spec.resources, placement);
  ++placement.counters.starts_sent;
  ++pass.starts;
  Send(placement, pass.view, worker.id, start, pass.decision);
}

bool IsKnownUnplaceable(const StartPass& pass, const Resources& need) {
  return std::any_of(pass.unplaceable_sizes.begin(),
                     pass.unplaceable_sizes.end(),
                     [&need](const Resources& unplaceable) {
                       return Fits(unplaceable, need);
                     });
}

bool HasQuota(const StartPass& pass, const JobSpec& spec) {
  const auto quota = pass.quotas.find(spec.team);
  if (quota == pass.quotas.end())
    return false;
  const auto used = pass.placement.team_usage.find(spec.team);
  const Resources usage =
      used == pass.placement.team_usage.end() ? Resources() : used->second;
  return Fits(usage + spec.resources, quota->second);
}

void StartJob(StartPass& pass, TrackedJob& job) {
  const std::set<uint32_t> waiting = job.waiting;
  for (const uint32_t index : waiting) {
    if (pass.starts >= kMaxStartsPerDecision || IsRampSpent(pass.placement) ||
        (pass.within_quota && !HasQuota(pass, job.spec)) ||
        IsKnownUnplaceable(pass, job.spec.resources))
      return;
    const auto failed = job.task_failed_on.find(index);
    const bool excludes = failed != job.task_failed_on.end();
    TrackedWorker* worker =
        FirstFit(pass, job, excludes ? failed->second : std::set<VmId>());
    if (worker)
      StartTask(pass, job, TaskId{job.spec.id, index}, *worker);
    else if (!excludes)
      pass.unplaceable_sizes.push_back(job.spec.resources);
  }
}

std::vector<TrackedJob*> SortedJobQueue(PlacementState& placement,
                                        const PlacementView& view) {
  std::vector<TrackedJob*> queue;
  for (auto& [id, job] : placement.jobs) {
    if (!job.waiting.empty() && !job.cancelled && !job.release_sent_at &&
        AreTaskLocationsKnown(placement, view, job))
      queue.push_back(&job);
  }
  std::sort(queue.begin(), queue.end(),
            [](const TrackedJob* a, const TrackedJob* b) {
              if (a->spec.latency_critical != b->spec.latency_critical)
                return a->spec.latency_critical;
              if (a->spec.urgent != b->spec.urgent)
                return a->spec.urgent;
              return a->order < b->order;
            });
  return queue;
}

// Returns how long a start command is valid. The age of the freshness proof
// limits it, because the proof gets older while the command is on its way.
Duration StartValidity(const PlacementView& view) {
  if (!view.proof || view.now - *view.proof >= kMaxProofAgeForStart)
    return Duration(0);
  return *view.proof + kMaxProofAgeForStart - kMaxClockDifference - view.now;
}

}  // namespace

void StartTasks(PlacementState& placement,
                const PlacementView& view,
                PlacementDecision& decision) {
  UpdateRamp(view, placement);
  const Duration start_validity = StartValidity(view);
  if (view.draining || start_validity < kMinStartValidity ||
      !IsDataCentreInService(view.control.config, placement.data_centre))
    return;
  const std::vector<TrackedJob*> queue = SortedJobQueue(placement, view);
  if (queue.empty())
    return;
  StartPass pass{placement, view, decision, start_validity, true, {}, {}, 0};
  pass.quotas = LocalQuotas(placement, view);
  for (TrackedJob* job : queue)
    StartJob(pass, *job);
  pass.within_quota = false;
  for (TrackedJob* job : queue)
    StartJob(pass, *job);
}

}  // namespace cowslipmast
