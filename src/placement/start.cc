#include <algorithm>

#include "src/placement/lifecycle.h"
#include "src/placement/places.h"
#include "src/placement/quarantine.h"
#include "src/placement/quota.h"
#include "src/placement/ramp.h"
#include "src/placement/steps.h"

namespace cowslipmast {

namespace {

// Bounds the work of one decision; more follow 100 ms later.
constexpr size_t kMaxStartsOfDecision = 200;
// A start that would arrive later than this is likely refused as too late.
constexpr Duration kShortestStartTime = std::chrono::milliseconds(100);

struct StartPass {
  Placement& placement;
  const PlacementView& view;
  PlacementDecision& decision;
  Duration open_for{0};  // until the worker refuses the start
  bool within_quota = true;
  std::map<TeamId, Resources> quotas;
  std::vector<Resources> misfits;  // sizes that fit nowhere now
  size_t starts = 0;
};

Resources Room(const Placement& placement,
               const WorkerView& worker,
               bool latency_critical) {
  Resources room = worker.capacity - worker.counted;
  if (placement.policy.size == SizePolicy::kDeclared || latency_critical ||
      worker.tasks.empty())
    return room;
  const int64_t reserve = placement.policy.reserve_percent;
  room.cpu -= MilliCores(worker.capacity.cpu.count() * reserve / 100);
  room.memory -= Mebibytes(worker.capacity.memory.count() * reserve / 100);
  return room;
}

bool TakesStarts(const WorkerView& worker, TimePoint now) {
  if (!worker.listed_vm || !worker.fenced || !worker.listed_at ||
      worker.silent || worker.list_before_start)
    return false;
  return worker.state == VmServiceState::kInService || IsProbeDue(worker, now);
}

// Workers where the task failed are left out as long as there are others.
WorkerView* FirstFit(StartPass& pass,
                     const JobView& job,
                     const std::set<VmId>& failed_on) {
  WorkerView* fallback = nullptr;
  bool other_exists = false;
  for (auto& [id, worker] : pass.placement.workers) {
    if (!TakesStarts(worker, pass.view.now))
      continue;
    const bool failed_here = failed_on.contains(id);
    other_exists = other_exists ||
                   (!failed_here && Fits(job.spec.resources, worker.capacity));
    if (!Fits(job.spec.resources,
              Room(pass.placement, worker, job.spec.latency_critical)))
      continue;
    if (!failed_here)
      return &worker;
    if (!fallback)
      fallback = &worker;
  }
  return other_exists ? nullptr : fallback;
}

StartCommand MakeStart(const StartPass& pass,
                       const JobView& job,
                       const TaskId& task) {
  const TaskProgress progress =
      ProgressOfTask(job, pass.view.data_centre, task);
  StartCommand start;
  start.task = task;
  start.attempt = progress.attempt.Next();
  start.kind = job.spec.kind;
  start.resources = job.spec.resources;
  start.not_after = pass.view.wall_now + pass.open_for;
  // The lease ends kLongestLease after the command left, however late the
  // worker accepts it.
  start.lease = kLongestLease - pass.open_for - kClockErrorBound;
  start.run_time = job.spec.run_time;
  start.checkpoint = progress.checkpoint;
  start.latency_critical = job.spec.latency_critical;
  return start;
}

void StartTask(StartPass& pass,
               const JobView& job,
               const TaskId& task,
               WorkerView& worker) {
  Placement& placement = pass.placement;
  const TimePoint now = pass.view.now;
  const StartCommand start = MakeStart(pass, job, task);
  TaskPlace place;
  place.task = task;
  place.attempt = start.attempt;
  place.worker = worker.id;
  place.phase = TaskPhase::kWaiting;
  StepTask(*placement.charts, TaskEvent::kStart, place.phase);
  place.team = job.spec.team;
  place.latency_critical = job.spec.latency_critical;
  place.declared = job.spec.resources;
  place.counted = job.spec.resources;
  place.start_closed = now + pass.open_for + kClockErrorBound;
  if (worker.tasks.empty()) {
    worker.next_renew = now + kRenewInterval;
    worker.next_contact = std::min(worker.next_contact, now + kListInterval);
  }
  worker.lease_until = std::max(worker.lease_until, now + kLongestLease);
  if (worker.state == VmServiceState::kQuarantined)
    BeginProbe(task, now, worker);
  AddPlace(placement, place);
  SpendRamp(job.spec.resources, placement);
  ++placement.counters.starts_sent;
  ++pass.starts;
  Send(placement, pass.view, worker.id, start, pass.decision);
}

bool IsMisfit(const StartPass& pass, const Resources& need) {
  return std::any_of(
      pass.misfits.begin(), pass.misfits.end(),
      [&need](const Resources& misfit) { return Fits(misfit, need); });
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

void StartJob(StartPass& pass, JobView& job) {
  const std::set<uint32_t> waiting = job.waiting;
  for (const uint32_t index : waiting) {
    if (pass.starts >= kMaxStartsOfDecision || IsRampSpent(pass.placement) ||
        (pass.within_quota && !HasQuota(pass, job.spec)) ||
        IsMisfit(pass, job.spec.resources))
      return;
    const auto failed = job.task_failed_on.find(index);
    const bool excludes = failed != job.task_failed_on.end();
    WorkerView* worker =
        FirstFit(pass, job, excludes ? failed->second : std::set<VmId>());
    if (worker)
      StartTask(pass, job, TaskId{job.spec.id, index}, *worker);
    else if (!excludes)
      pass.misfits.push_back(job.spec.resources);
  }
}

std::vector<JobView*> QueueOf(Placement& placement, const PlacementView& view) {
  std::vector<JobView*> queue;
  for (auto& [id, job] : placement.jobs) {
    if (!job.waiting.empty() && !job.cancelled && !job.release_sent &&
        IsJobSettled(placement, view, job))
      queue.push_back(&job);
  }
  std::sort(queue.begin(), queue.end(), [](const JobView* a, const JobView* b) {
    if (a->spec.latency_critical != b->spec.latency_critical)
      return a->spec.latency_critical;
    if (a->spec.urgent != b->spec.urgent)
      return a->spec.urgent;
    return a->order < b->order;
  });
  return queue;
}

// How long a start command is valid: the proof ages on the way.
Duration OpenFor(const PlacementView& view) {
  if (!view.proof || view.now - *view.proof >= kProofLimit)
    return Duration(0);
  return *view.proof + kProofLimit - kClockErrorBound - view.now;
}

}  // namespace

void StartTasks(Placement& placement,
                const PlacementView& view,
                PlacementDecision& decision) {
  UpdateRamp(view, placement);
  const Duration open_for = OpenFor(view);
  if (view.draining || open_for < kShortestStartTime ||
      !IsDataCentreIn(view.control.config, placement.data_centre))
    return;
  const std::vector<JobView*> queue = QueueOf(placement, view);
  if (queue.empty())
    return;
  StartPass pass{placement, view, decision, open_for, true, {}, {}, 0};
  pass.quotas = LocalQuotas(placement, view);
  for (JobView* job : queue)
    StartJob(pass, *job);
  pass.within_quota = false;
  for (JobView* job : queue)
    StartJob(pass, *job);
}

}  // namespace cowslipmast
