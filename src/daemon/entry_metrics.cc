#include "src/daemon/entry_metrics.h"

#include <functional>
#include <string>

namespace cowslipmast {

namespace {

using ServiceGaugeReader =
    std::function<double(const RouterState&, const RouterService&)>;

double SlotsInUse(const RouterState& state, const RouterService& service) {
  Slots sum;
  for (const TargetId& id : service.targets)
    sum += state.targets.at(id).in_flight;
  return static_cast<double>(sum.count());
}

double QueueLength(const RouterState&, const RouterService& service) {
  return static_cast<double>(service.queue.size());
}

double UsableSlots(const RouterState& state, const RouterService& service) {
  Slots sum;
  for (const TargetId& id : service.targets) {
    const RouterTarget& target = state.targets.at(id);
    if (target.usable)
      sum += target.info.slots;
  }
  return static_cast<double>(sum.count());
}

// The metrics outlive the router, so the gauge holds a weak pointer.
std::function<double()> MakeGauge(const std::shared_ptr<RouterRunner>& router,
                                  const ServiceId& service,
                                  ServiceGaugeReader read) {
  return [weak = std::weak_ptr<RouterRunner>(router), service,
          read = std::move(read)]() -> double {
    const auto strong = weak.lock();
    if (!strong)
      return 0;
    const RouterState& state = strong->state();
    const auto found = state.services.find(service);
    return found == state.services.end() ? 0 : read(state, found->second);
  };
}

}  // namespace

std::unique_ptr<EntryMetrics> EntryMetrics::Make(Metrics& metrics) {
  return std::unique_ptr<EntryMetrics>(new EntryMetrics(metrics));
}

void EntryMetrics::CountReply(RequestOutcome outcome,
                              RefusalReason refusal,
                              Duration latency) {
  const std::string outcome_name(RequestOutcomeName(outcome));
  ++m_metrics.Counter("cowslipmast_requests_total",
                      {{"outcome", outcome_name},
                       {"reason", std::string(RefusalReasonName(refusal))}});
  m_metrics.Latency("cowslipmast_request_seconds", {{"outcome", outcome_name}})
      .Record(latency);
}

void EntryMetrics::CountForwarded(RequestOutcome outcome) {
  ++m_metrics.Counter("cowslipmast_peer_requests_total",
                      {{"outcome", std::string(RequestOutcomeName(outcome))}});
}

void EntryMetrics::CopyCounters(const RouterCounters& counters) {
  const auto copy = [this](const char* name, uint64_t value) {
    m_metrics.Counter(name, {}) = value;
  };
  copy("cowslipmast_retries_total", counters.retries);
  copy("cowslipmast_retries_over_budget_total", counters.retries_over_budget);
  copy("cowslipmast_forwards_in_region_total", counters.forwards_in_region);
  copy("cowslipmast_forwards_to_other_regions_total",
       counters.forwards_to_other_regions);
  copy("cowslipmast_late_answers_total", counters.late_answers);
  copy("cowslipmast_duplicate_ids_total", counters.duplicate_ids);
  copy("cowslipmast_ids_dropped_total", counters.ids_dropped);
  copy("cowslipmast_id_answers_dropped_total", counters.answers_dropped);
  copy("cowslipmast_target_failures_total", counters.target_failures);
  copy("cowslipmast_missed_deadlines_total", counters.missed_deadlines);
  copy("cowslipmast_leaving_answers_total", counters.leaving_answers);
}

void EntryMetrics::RegisterServices(
    const std::set<ServiceId>& services,
    const std::shared_ptr<RouterRunner>& router) {
  for (const ServiceId& service : services) {
    if (!m_services.insert(service).second)
      continue;
    const MetricLabels labels = {{"service", service.value()}};
    m_metrics.Gauge("cowslipmast_queue_length", labels,
                    MakeGauge(router, service, QueueLength));
    m_metrics.Gauge("cowslipmast_slots_in_use", labels,
                    MakeGauge(router, service, SlotsInUse));
    m_metrics.Gauge("cowslipmast_slots_usable", labels,
                    MakeGauge(router, service, UsableSlots));
  }
}

}  // namespace cowslipmast
