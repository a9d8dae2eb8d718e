#ifndef COWSLIPMAST_SRC_DAEMON_METRICS_H_
#define COWSLIPMAST_SRC_DAEMON_METRICS_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "cowslipmast/units.h"

namespace cowslipmast {

/** Labels of one series, such as {"outcome", "answered"}. */
using MetricLabels = std::vector<std::pair<std::string, std::string>>;

/** Latency histogram with logarithmic bins from 10 us to 100 s. */
class LatencyHistogram {
 public:
  LatencyHistogram();
  ~LatencyHistogram();

  void Record(Duration latency);
  uint64_t count() const;
  /** Upper bound of the bin that holds the quantile; 0 when empty. */
  Duration Quantile(double quantile) const;

 private:
  friend class Metrics;
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

/** Counters, gauges and histograms of one process. */
class Metrics {
 public:
  static std::unique_ptr<Metrics> Make();
  ~Metrics();

  /** Returns a counter; the reference is valid as long as the metrics. */
  uint64_t& Counter(const std::string& name, const MetricLabels& labels);
  /** Registers a value that is read when the page is rendered. */
  void Gauge(const std::string& name,
             const MetricLabels& labels,
             std::function<double()> read);
  LatencyHistogram& Latency(const std::string& name,
                            const MetricLabels& labels);

  /** Renders the Prometheus text format, version 0.0.4. */
  std::string Render() const;

 private:
  struct Impl;
  explicit Metrics(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> m_impl;
};

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_DAEMON_METRICS_H_
