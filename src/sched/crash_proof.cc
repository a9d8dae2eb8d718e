#include "src/sched/crash_proof.h"

namespace cowslipmast::sched {

namespace {

bool MayBeSame(int64_t start_time_ms, int64_t other_start_time_ms) {
  return start_time_ms == 0 || other_start_time_ms == 0 ||
         start_time_ms == other_start_time_ms;
}

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
  if (!MayBeSame(end.ended().start_time_ms, run.start_time_ms))
    return std::nullopt;
  if (!run.is_confirmed || run.is_stopping)
    return std::nullopt;
  // A partitioned worker may restart after the lease has ended the run. But an
  // instance that was never heard again once the run had started was down.
  if (run.lease_expired && !run.had_just_started)
    return std::nullopt;
  return CrashProof();
}

bool HasAnnouncedLeaving(const WorkerState& worker, int64_t start_time_ms) {
  return worker.leaving_start_time_ms &&
         MayBeSame(*worker.leaving_start_time_ms, start_time_ms);
}

void NoteLeavingInstance(WorkerState& worker) {
  if (worker.info.draining)
    worker.leaving_start_time_ms = worker.info.start_time_ms;
  // Without both start times the next instance cannot be told from this one.
  else if (worker.info.start_time_ms == 0 || worker.leaving_start_time_ms == 0)
    worker.leaving_start_time_ms.reset();
}

}  // namespace cowslipmast::sched
