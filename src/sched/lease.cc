#include "src/sched/lease.h"

#include <algorithm>

namespace cowslipmast::sched {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// The worker may kill a run this long after the lease has expired.
constexpr Duration kKillDelay = milliseconds(150);

// A worker that leaves takes its runs with it. The shorter its leases, the
// sooner they may go on elsewhere.
constexpr Duration kMaxLeaseOfLeavingWorker = milliseconds(3000);

// The first lease of an owner ends after those of earlier owners. A shorter one
// would not: the worker keeps the longest.
Duration LeaseFor(const SchedulerOptions& options, const WorkerState& worker) {
  const bool is_first = worker.instance->latest_lease_end == WorkerClock(0);
  return worker.info.draining && !is_first
             ? std::min(options.lease, kMaxLeaseOfLeavingWorker)
             : options.lease;
}

// Latest time at which the worker's clock reaches `end` and its runs are
// killed. The clock showed at least `clock` when the reading was received, and
// it may run slower than ours.
TimePoint LatestTimeOf(const SchedulerOptions& options,
                       const InstanceState& instance,
                       WorkerClock end) {
  const int64_t remaining_ms = std::max<int64_t>(
      0, end.count() - instance.clock.value_or(WorkerClock(0)).count());
  const Duration wait(
      static_cast<int64_t>(static_cast<double>(remaining_ms) * 1000.0 /
                           (1.0 - options.max_clock_drift)));
  return instance.clock_received_at + wait + kKillDelay;
}

}  // namespace

std::optional<WorkerClock> ExtendLease(const SchedulerOptions& options,
                                       WorkerState& worker,
                                       TimePoint now) {
  if (!worker.instance || !worker.instance->clock)
    return std::nullopt;
  InstanceState& instance = *worker.instance;
  const Duration elapsed(static_cast<int64_t>(
      static_cast<double>((now - instance.clock_received_at).count()) *
      (1.0 - options.max_clock_drift)));
  const auto remaining_ms =
      duration_cast<milliseconds>(elapsed + LeaseFor(options, worker));
  const WorkerClock end = *instance.clock + WorkerClock(remaining_ms.count());
  if (end > instance.latest_lease_end) {
    instance.latest_lease_end = end;
    worker.lease_expiry =
        std::max(worker.lease_expiry, LatestTimeOf(options, instance, end));
  }
  return end;
}

void UpdateClock(const SchedulerOptions& options,
                 WorkerState& worker,
                 WorkerClock clock,
                 TimePoint now) {
  InstanceState& instance = *worker.instance;
  if (instance.clock && clock < *instance.clock)
    return;
  instance.clock = clock;
  instance.clock_received_at = now;
  // Until this owner grants a lease, those of the previous owner set the bound.
  if (instance.latest_lease_end != WorkerClock(0))
    worker.lease_expiry =
        LatestTimeOf(options, instance, instance.latest_lease_end);
}

}  // namespace cowslipmast::sched
