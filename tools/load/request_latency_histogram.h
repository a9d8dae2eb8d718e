#ifndef COWSLIPMAST_TOOLS_LOAD_REQUEST_LATENCY_HISTOGRAM_H_
#define COWSLIPMAST_TOOLS_LOAD_REQUEST_LATENCY_HISTOGRAM_H_

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <tuple>

#include "cowslipmast/units.h"

namespace cowslipmast::load {

/** Histogram of latencies from 0.05 ms to 100 s; each bin is 1% wide. */
class RequestLatencyHistogram {
 public:
  RequestLatencyHistogram();

  void Add(Duration latency);
  /** Returns the upper edge, in ms, of the bin that holds the quantile; 0 if
   * the histogram is empty. */
  double QuantileMs(double quantile) const;

 private:
  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  boost::histogram::histogram<std::tuple<Axis>> m_bins;
  double m_count = 0;
};

}  // namespace cowslipmast::load

#endif  // COWSLIPMAST_TOOLS_LOAD_REQUEST_LATENCY_HISTOGRAM_H_
