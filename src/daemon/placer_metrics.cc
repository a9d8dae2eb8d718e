#include "src/daemon/placer_metrics.h"

#include <utility>

namespace cowslipmast {

namespace {

struct CounterSeries {
  uint64_t PlacementCounters::*member;
  const char* name;
  const char* label;
  const char* value;
};

constexpr char kStartsMetric[] = "cowslipmast_task_starts_total";
constexpr char kOutcomesMetric[] = "cowslipmast_task_outcomes_total";

constexpr CounterSeries kCounterSeries[] = {
    {&PlacementCounters::starts_sent, kStartsMetric, "result", "sent"},
    {&PlacementCounters::starts, kStartsMetric, "result", "started"},
    {&PlacementCounters::starts_refused, kStartsMetric, "result", "refused"},
    {&PlacementCounters::start_replies_lost, kStartsMetric, "result",
     "reply_lost"},
    {&PlacementCounters::done, kOutcomesMetric, "result", "done"},
    {&PlacementCounters::failed, kOutcomesMetric, "result", "failed"},
    {&PlacementCounters::evicted, kOutcomesMetric, "result", "evicted"},
    {&PlacementCounters::lost, kOutcomesMetric, "result", "lost"},
    {&PlacementCounters::unexpected_tasks_stopped,
     "cowslipmast_unwanted_tasks_total", "action", "stopped"},
    {&PlacementCounters::throttled, "cowslipmast_throttles_total", "reason",
     "interference"},
    {&PlacementCounters::quarantines, "cowslipmast_quarantines_total", "cause",
     "failed_starts"},
};

}  // namespace

void ReportPlacement(Metrics& metrics,
                     PlacementState& placement,
                     PlacementCounters& reported) {
  for (const CounterSeries& series : kCounterSeries) {
    const uint64_t count = placement.counters.*series.member;
    if (count == reported.*series.member)
      continue;
    metrics.Counter(series.name, {{series.label, series.value}}) +=
        count - reported.*series.member;
  }
  reported = placement.counters;
  if (placement.start_delays.empty())
    return;
  LatencyHistogram& delays =
      metrics.Latency("cowslipmast_submission_to_start_seconds", {});
  for (const Duration delay : std::exchange(placement.start_delays, {}))
    delays.Record(delay);
}

}  // namespace cowslipmast
