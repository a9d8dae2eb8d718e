#include "src/placement/quarantine.h"

#include <algorithm>

namespace cowslipmast {

namespace {

// A record that was not read back by then is written again.
constexpr Duration kStateRetryDelay = std::chrono::seconds(5);

void DelayProbe(TimePoint now, WorkerView& worker) {
  worker.probe_at = now + worker.probe_delay;
  worker.probe_delay = std::min(worker.probe_delay * 2, kLongestProbeDelay);
}

// A job whose tasks fail on several workers and never end well is itself the
// likely cause, and would otherwise quarantine one worker after the other.
bool IsJobAtFault(const JobView& job) {
  return !job.any_done && job.failed_on.size() >= 2;
}

}  // namespace

void NoteResult(Placement& placement,
                const TaskPlace& place,
                TaskResult result) {
  JobView& job = placement.jobs[place.task.job];
  WorkerView& worker = placement.workers[place.worker];
  if (result == TaskResult::kDone) {
    job.any_done = true;
    worker.failed_starts = 0;
    return;
  }
  if (result != TaskResult::kFailed)
    return;
  job.failed_on.insert(place.worker);
  job.task_failed_on[place.task.index].insert(place.worker);
  if (worker.probe == place.task || !IsJobAtFault(job))
    ++worker.failed_starts;
}

void NoteStartError(WorkerView& worker) {
  ++worker.failed_starts;
}

void SyncWorkerState(const PlacementView& view, WorkerView& worker) {
  const auto found = view.control.vm_states.find(worker.id);
  const VmServiceState recorded = found == view.control.vm_states.end()
                                      ? VmServiceState::kInService
                                      : found->second.state;
  if (recorded == worker.state) {
    worker.state_sent.reset();
    return;
  }
  const bool own_record_pending = worker.state_sent.has_value();
  if (own_record_pending && view.now - *worker.state_sent < kStateRetryDelay)
    return;
  worker.state_sent.reset();
  worker.state = recorded;
  if (own_record_pending) {
    // The record took no effect; DecideQuarantine decides anew.
    worker.probe_at = view.now;
    return;
  }
  worker.probe_at.reset();
  worker.probe_delay = kFirstProbeDelay;
  worker.failed_starts = 0;
  if (recorded != VmServiceState::kQuarantined ||
      found->second.cause != kFailedStartsCause)
    return;
  worker.failed_starts = kMaxFailedStarts;
  DelayProbe(view.now, worker);
}

bool IsProbeDue(const WorkerView& worker, TimePoint now) {
  return worker.state == VmServiceState::kQuarantined && worker.probe_at &&
         now >= *worker.probe_at && !worker.probe;
}

void BeginProbe(const TaskId& task, TimePoint now, WorkerView& worker) {
  worker.probe = task;
  DelayProbe(now, worker);
}

void DecideQuarantine(Placement& placement,
                      const PlacementView& view,
                      PlacementDecision& decision) {
  for (auto& [id, worker] : placement.workers) {
    const bool failing = worker.failed_starts >= kMaxFailedStarts;
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
    worker.state_sent = view.now;
    decision.control.emplace_back(
        VmStateSet{id, worker.state, kFailedStartsCause});
  }
}

}  // namespace cowslipmast
