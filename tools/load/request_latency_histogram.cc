#include "tools/load/request_latency_histogram.h"

#include <algorithm>

namespace cowslipmast::load {

namespace {

constexpr unsigned kBinCount = 1450;  // ln(100,000 / 0.05) / ln(1.01)
constexpr double kLowestMs = 0.05;
constexpr double kHighestMs = 100000;
constexpr double kMicrosecondsPerMs = 1000;

}  // namespace

RequestLatencyHistogram::RequestLatencyHistogram()
    : m_bins(boost::histogram::make_histogram(
          Axis(kBinCount, kLowestMs, kHighestMs))) {}

void RequestLatencyHistogram::Add(Duration latency) {
  const double ms = static_cast<double>(latency.count()) / kMicrosecondsPerMs;
  m_bins(std::clamp(ms, kLowestMs, kHighestMs * 0.999));
  ++m_count;
}

double RequestLatencyHistogram::QuantileMs(double quantile) const {
  const double wanted = quantile * m_count;
  double seen = 0;
  for (unsigned bin = 0; bin < kBinCount && m_count > 0; ++bin) {
    seen += static_cast<double>(m_bins.at(static_cast<int>(bin)));
    if (seen >= wanted && seen > 0)
      return m_bins.axis().bin(static_cast<int>(bin)).upper();
  }
  return 0;
}

}  // namespace cowslipmast::load
