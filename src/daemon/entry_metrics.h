#ifndef COWSLIPMAST_SRC_DAEMON_ENTRY_METRICS_H_
#define COWSLIPMAST_SRC_DAEMON_ENTRY_METRICS_H_

#include <memory>
#include <set>

#include "cowslipmast/router.h"
#include "src/daemon/metrics.h"
#include "src/daemon/router_runner.h"

namespace cowslipmast {

/** Metrics of an entry process; see docs/protocol.md for outcomes and
 * reasons. */
class EntryMetrics {
 public:
  /** `metrics` must outlive the result. */
  static std::unique_ptr<EntryMetrics> Make(Metrics& metrics);

  /** Counts a reply to a caller. */
  void CountReply(RequestOutcome outcome,
                  RefusalReason refusal,
                  Duration latency);
  /** Counts a reply to a peer. */
  void CountForwarded(RequestOutcome outcome);
  void CopyCounters(const RouterCounters& counters);
  /** Registers gauges for services that have none yet. */
  void RegisterServices(const std::set<ServiceId>& services,
                        const std::shared_ptr<RouterRunner>& router);

 private:
  explicit EntryMetrics(Metrics& metrics) : m_metrics(metrics) {}
  Metrics& m_metrics;
  std::set<ServiceId> m_services;
};

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_DAEMON_ENTRY_METRICS_H_
