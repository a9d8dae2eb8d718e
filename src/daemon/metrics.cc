#include "src/daemon/metrics.h"

#include <boost/histogram.hpp>
#include <map>
#include <sstream>
#include <utility>

namespace cowslipmast {

namespace bh = boost::histogram;

namespace {

// 20 bins per decade; the error of a quantile is at most 12%.
constexpr unsigned kBinCount = 140;
constexpr double kMinLatencySeconds = 10e-6;
constexpr double kMaxLatencySeconds = 100;

using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;
using Histogram = decltype(bh::make_histogram(LogAxis()));

constexpr double kExportedQuantiles[] = {0.5, 0.9, 0.99, 0.999};

struct SeriesKey {
  std::string name;
  MetricLabels labels;

  auto operator<=>(const SeriesKey&) const = default;
};

std::string Escape(const std::string& text) {
  std::string escaped;
  for (const char c : text) {
    if (c == '\n') {
      escaped += "\\n";
      continue;
    }
    if (c == '\\' || c == '"')
      escaped += '\\';
    escaped += c;
  }
  return escaped;
}

std::string RenderLabels(const MetricLabels& labels) {
  if (labels.empty())
    return "";
  std::string text = "{";
  for (const auto& [name, value] : labels) {
    if (text.size() > 1)
      text += ',';
    text += name + "=\"" + Escape(value) + '"';
  }
  return text + "}";
}

// Writes a `# TYPE` line before the first series of each name.
class TypeLines {
 public:
  explicit TypeLines(std::ostream& out) : m_out(out) {}
  void Write(const std::string& name, const char* type) {
    if (name == m_last)
      return;
    m_last = name;
    m_out << "# TYPE " << name << ' ' << type << '\n';
  }

 private:
  std::ostream& m_out;
  std::string m_last;
};

double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

struct LatencyHistogram::Impl {
  Histogram histogram = bh::make_histogram(
      LogAxis(kBinCount, kMinLatencySeconds, kMaxLatencySeconds));
  uint64_t count = 0;
  double sum_seconds = 0;
};

LatencyHistogram::LatencyHistogram() : m_impl(std::make_unique<Impl>()) {}
LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::Record(Duration latency) {
  const double seconds = ToSeconds(latency);
  m_impl->histogram(seconds);
  m_impl->sum_seconds += seconds;
  ++m_impl->count;
}

uint64_t LatencyHistogram::count() const {
  return m_impl->count;
}

Duration LatencyHistogram::Quantile(double quantile) const {
  if (m_impl->count == 0)
    return Duration(0);
  const double wanted = quantile * static_cast<double>(m_impl->count);
  const auto& axis = m_impl->histogram.axis();
  double seen = 0;
  for (int bin = -1; bin < axis.size(); ++bin) {
    seen += m_impl->histogram.at(bin);
    if (seen >= wanted) {
      return std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>(axis.value(bin + 1)));
    }
  }
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(kMaxLatencySeconds));
}

struct Metrics::Impl {
  std::map<SeriesKey, uint64_t> counters;
  std::map<SeriesKey, std::function<double()>> gauges;
  std::map<SeriesKey, LatencyHistogram> latencies;
};

Metrics::Metrics(std::unique_ptr<Impl> impl) : m_impl(std::move(impl)) {}
Metrics::~Metrics() = default;

std::unique_ptr<Metrics> Metrics::Make() {
  return std::unique_ptr<Metrics>(new Metrics(std::make_unique<Impl>()));
}

uint64_t& Metrics::Counter(const std::string& name,
                           const MetricLabels& labels) {
  return m_impl->counters[{name, labels}];
}

void Metrics::Gauge(const std::string& name,
                    const MetricLabels& labels,
                    std::function<double()> read) {
  m_impl->gauges[{name, labels}] = std::move(read);
}

LatencyHistogram& Metrics::Latency(const std::string& name,
                                   const MetricLabels& labels) {
  return m_impl->latencies[{name, labels}];
}

std::string Metrics::Render() const {
  std::ostringstream out;
  TypeLines types(out);
  for (const auto& [key, value] : m_impl->counters) {
    types.Write(key.name, "counter");
    out << key.name << RenderLabels(key.labels) << ' ' << value << '\n';
  }
  for (const auto& [key, read] : m_impl->gauges) {
    types.Write(key.name, "gauge");
    out << key.name << RenderLabels(key.labels) << ' ' << read() << '\n';
  }
  for (const auto& [key, latency] : m_impl->latencies) {
    types.Write(key.name, "summary");
    for (const double quantile : kExportedQuantiles) {
      MetricLabels labels = key.labels;
      std::ostringstream text;
      text << quantile;
      labels.emplace_back("quantile", text.str());
      out << key.name << RenderLabels(labels) << ' '
          << ToSeconds(latency.Quantile(quantile)) << '\n';
    }
    out << key.name << "_sum" << RenderLabels(key.labels) << ' '
        << latency.m_impl->sum_seconds << '\n';
    out << key.name << "_count" << RenderLabels(key.labels) << ' '
        << latency.count() << '\n';
  }
  return out.str();
}

}  // namespace cowslipmast
