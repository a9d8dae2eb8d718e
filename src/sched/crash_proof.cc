#include "src/sched/crash_proof.h"

#include <algorithm>

namespace cowslipmast::sched {

namespace {

// Ends of earlier instances have become known by then.
constexpr size_t kMaxLeavingInstances = 4;

}  // namespace

std::optional<InstanceEndProof> InstanceEndProof::Make(
    const WorkerState& worker,
    int64_t start_time_ms) {
  if (HasAnnouncedLeaving(worker, start_time_ms))
    return std::nullopt;
  return InstanceEndProof({worker.info.id, start_time_ms});
}

std::optional<CrashProof> CrashProof::Make(const InstanceEndProof& end,
                                           const RunOnInstance& run) {
  if (!MayBeSameInstance(end.ended().start_time_ms, run.start_time_ms) ||
      !run.is_confirmed || run.is_stopping)
    return std::nullopt;
  // A partitioned worker may restart after the lease has ended the run. Without
  // the exception, crashes of workers that return late could never be proven.
  if (run.lease_expired && !run.had_just_started)
    return std::nullopt;
  return CrashProof();
}

bool HasAnnouncedLeaving(const WorkerState& worker, int64_t start_time_ms) {
  const auto& leaving = worker.leaving_start_times_ms;
  return std::any_of(leaving.begin(), leaving.end(),
                     [start_time_ms](int64_t leaving_ms) {
                       return MayBeSameInstance(leaving_ms, start_time_ms);
                     });
}

bool NoteLeavingInstance(WorkerState& worker) {
  auto& leaving = worker.leaving_start_times_ms;
  const int64_t start_time_ms = worker.info.start_time_ms;
  if (!worker.info.draining) {
    // Without both start times the next instance cannot be told from this one.
    std::erase_if(leaving, [start_time_ms](int64_t leaving_ms) {
      return leaving_ms == 0 || start_time_ms == 0;
    });
    return false;
  }
  if (std::find(leaving.begin(), leaving.end(), start_time_ms) != leaving.end())
    return false;
  leaving.push_back(start_time_ms);
  if (leaving.size() > kMaxLeavingInstances)
    leaving.pop_front();
  return true;
}

}  // namespace cowslipmast::sched
