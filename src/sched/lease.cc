#include "src/sched/lease.h"

#include <algorithm>

namespace cowslipmast::sched {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// The worker kills what runs a moment after its lease is over.
constexpr Duration kKillMargin = milliseconds(150);

// When the worker's clock reaches `end` at the latest: its reading was at least
// `clock` when we received it, and it may run slower than ours.
TimePoint LatestTimeOf(const SchedulerOptions& options,
                       const Worker& worker,
                       WorkerClock end) {
  const int64_t ahead = std::max<int64_t>(
      0, end.count() - worker.clock.value_or(WorkerClock(0)).count());
  const Duration wait(static_cast<int64_t>(static_cast<double>(ahead) * 1000.0 /
                                           (1.0 - options.slow_clock)));
  return worker.clock_at + wait + kKillMargin;
}

}  // namespace

std::optional<WorkerClock> ExtendLease(const SchedulerOptions& options,
                                       Worker& worker,
                                       TimePoint now) {
  if (!worker.clock)
    return std::nullopt;
  const Duration elapsed(static_cast<int64_t>(
      static_cast<double>((now - worker.clock_at).count()) *
      (1.0 - options.slow_clock)));
  const auto ahead = duration_cast<milliseconds>(elapsed + options.lease);
  const WorkerClock end = *worker.clock + WorkerClock(ahead.count());
  if (end > worker.lease_sent) {
    worker.lease_sent = end;
    worker.lease_over =
        std::max(worker.lease_over, LatestTimeOf(options, worker, end));
  }
  return end;
}

void ReadClock(const SchedulerOptions& options,
               Worker& worker,
               WorkerClock clock,
               TimePoint now) {
  if (worker.clock && clock < *worker.clock)
    return;
  const bool first = !worker.clock;
  worker.clock = clock;
  worker.clock_at = now;
  // Until the first reading the bound is the earlier owner's.
  if (!first)
    worker.lease_over = LatestTimeOf(options, worker, worker.lease_sent);
}

}  // namespace cowslipmast::sched
