#include "src/placement/quarantine.h"

#include <algorithm>

namespace cowslipmast {

namespace {

// A record that has not been read back after this time is written again.
constexpr Duration kStateRetryDelay = std::chrono::seconds(5);

void DelayProbe(TimePoint now, TrackedWorker& worker) {
  worker.probe_at = now + worker.probe_delay;
  worker.probe_delay = std::min(worker.probe_delay * 2, kMaxProbeDelay);
}

// A job whose tasks fail on several workers and never succeed is itself the
// likely cause. Counting its failures would quarantine one worker after
// another.
bool IsJobAtFault(const TrackedJob& job) {
  return !job.any_task_done && job.failed_on.size() >= 2;
}

}  // namespace

void CountResultForWorker(PlacementState& placement,
                          const TaskAssignment& assignment,
                          TaskResult result) {
  TrackedJob& job = placement.jobs[assignment.task.job];
  TrackedWorker& worker = placement.workers[assignment.worker];
  if (result == TaskResult::kDone) {
    job.any_task_done = true;
    worker.failed_starts = 0;
    return;
  }
  if (result != TaskResult::kFailed)
    return;
  job.failed_on.insert(assignment.worker);
  job.task_failed_on[assignment.task.index].insert(assignment.worker);
  if (worker.probe == assignment.task || !IsJobAtFault(job))
    ++worker.failed_starts;
}

void CountStartError(TrackedWorker& worker) {
  ++worker.failed_starts;
}

void SyncWorkerState(const PlacementView& view, TrackedWorker& worker) {
  const auto found = view.control.vm_states.find(worker.id);
  const VmServiceState recorded = found == view.control.vm_states.end()
                                      ? VmServiceState::kInService
                                      : found->second.state;
  if (recorded == worker.state) {
    worker.state_sent_at.reset();
    return;
  }
  const bool own_record_pending = worker.state_sent_at.has_value();
  if (own_record_pending && view.now - *worker.state_sent_at < kStateRetryDelay)
    return;
  worker.state_sent_at.reset();
  worker.state = recorded;
  if (own_record_pending) {
    // The record had no effect; DecideQuarantine() decides again.
    worker.probe_at = view.now;
    return;
  }
  worker.probe_at.reset();
  worker.probe_delay = kInitialProbeDelay;
  worker.failed_starts = 0;
  if (recorded != VmServiceState::kQuarantined ||
      found->second.cause != kFailedStartsCause)
    return;
  worker.failed_starts = kMaxConsecutiveFailedStarts;
  DelayProbe(view.now, worker);
}

bool IsProbeDue(const TrackedWorker& worker, TimePoint now) {
  return worker.state == VmServiceState::kQuarantined && worker.probe_at &&
         now >= *worker.probe_at && !worker.probe;
}

void BeginProbe(const TaskId& task, TimePoint now, TrackedWorker& worker) {
  worker.probe = task;
  DelayProbe(now, worker);
}

void DecideQuarantine(PlacementState& placement,
                      const PlacementView& view,
                      PlacementDecision& decision) {
  for (auto& [id, worker] : placement.workers) {
    const bool failing = worker.failed_starts >= kMaxConsecutiveFailedStarts;
    if (worker.state == VmServiceState::kInService && failing) {
      worker.state = VmServiceState::kQuarantined;
      DelayProbe(view.now, worker);
      ++placement.counters.quarantines;
    } else if (worker.state == VmServiceState::kQuarantined &&
               worker.probe_at && worker.failed_starts == 0) {
      worker.state = VmServiceState::kInService;
      worker.probe_at.reset();
    } else {
      continue;
    }
    worker.state_sent_at = view.now;
    decision.control.emplace_back(
        VmStateSet{id, worker.state, kFailedStartsCause});
  }
}

}  // namespace cowslipmast
