#include "tools/load/latency_histogram.h"

#include <algorithm>

namespace cowslipmast::load {

namespace {

constexpr unsigned kBins = 1450;  // ln(100,000 / 0.05) / ln(1.01)
constexpr double kLowestMs = 0.05;
constexpr double kHighestMs = 100000;
constexpr double kMicrosecondsPerMs = 1000;

}  // namespace

LatencyHistogram::LatencyHistogram()
    : m_bins(boost::histogram::make_histogram(
          Axis(kBins, kLowestMs, kHighestMs))) {}

void LatencyHistogram::Add(Duration latency) {
  const double ms = static_cast<double>(latency.count()) / kMicrosecondsPerMs;
  m_bins(std::clamp(ms, kLowestMs, kHighestMs * 0.999));
  ++m_count;
}

double LatencyHistogram::QuantileMs(double quantile) const {
  const double wanted = quantile * m_count;
  double seen = 0;
  for (unsigned bin = 0; bin < kBins && m_count > 0; ++bin) {
    seen += static_cast<double>(m_bins.at(static_cast<int>(bin)));
    if (seen >= wanted && seen > 0)
      return m_bins.axis().bin(static_cast<int>(bin)).upper();
  }
  return 0;
}

}  // namespace cowslipmast::load
