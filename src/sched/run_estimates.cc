#include "src/sched/run_estimates.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace cowslipmast::sched {

namespace {

// Before that the declared estimate is used.
constexpr uint32_t kMinRuns = 4;
constexpr double kWeightOfNewRun = 0.1;
// Declared estimates are wrong by a factor of up to two in either direction.
constexpr double kDeclaredUpperFactor = 2.0;
constexpr Duration kUndeclaredRunTime = std::chrono::seconds(10);
// Bounds the memory if callers name a new image in each job.
constexpr size_t kMaxHistories = 512;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

Duration FromSeconds(double seconds) {
  return Duration(static_cast<int64_t>(seconds * 1e6));
}

void Observe(LogAverage& average, double value, uint32_t earlier_runs) {
  // The first runs count alike.
  const double weight = std::max(kWeightOfNewRun, 1.0 / (1.0 + earlier_runs));
  const double distance = std::abs(value - average.mean);
  if (earlier_runs > 0)
    average.deviation += weight * (distance - average.deviation);
  average.mean += weight * (value - average.mean);
}

void Observe(RunHistory& history, const StepSpec& spec, double seconds) {
  Observe(history.seconds, std::log(seconds), history.runs);
  const double declared = Seconds(spec.estimate);
  if (declared > 0)
    Observe(history.ratio, std::log(seconds / declared), history.runs);
  ++history.runs;
}

const RunHistory* FindHistory(const RunEstimates& estimates,
                              const QueueId& queue,
                              const ImageId& image) {
  const auto found = estimates.histories.find({queue, image});
  return found == estimates.histories.end() || found->second.runs < kMinRuns
             ? nullptr
             : &found->second;
}

RunTime FromAverage(const LogAverage& average, double unit) {
  return {FromSeconds(unit * std::exp(average.mean)),
          FromSeconds(unit * std::exp(average.mean + average.deviation))};
}

RunTime DeclaredRunTime(const StepSpec& spec) {
  if (spec.estimate <= Duration(0))
    return {kUndeclaredRunTime, kUndeclaredRunTime};
  return {spec.estimate,
          FromSeconds(Seconds(spec.estimate) * kDeclaredUpperFactor)};
}

}  // namespace

RunTime EstimateRunTime(const RunEstimates& estimates,
                        const QueueId& queue,
                        const StepSpec& spec) {
  const RunHistory* history = FindHistory(estimates, queue, spec.image);
  if (history == nullptr)
    history = FindHistory(estimates, queue, ImageId());
  if (history == nullptr)
    return DeclaredRunTime(spec);
  const double declared = Seconds(spec.estimate);
  // Whichever has predicted the runs so far with the smaller error.
  if (declared > 0 && history->ratio.deviation < history->seconds.deviation)
    return FromAverage(history->ratio, declared);
  return FromAverage(history->seconds, 1.0);
}

void ObserveRunTime(RunEstimates& estimates,
                    const QueueId& queue,
                    const StepSpec& spec,
                    Duration run_time) {
  const double seconds = std::max(0.001, Seconds(run_time));
  Observe(estimates.histories[{queue, ImageId()}], spec, seconds);
  if (spec.image.empty())
    return;
  const std::pair key(queue, spec.image);
  if (estimates.histories.size() < kMaxHistories ||
      estimates.histories.contains(key))
    Observe(estimates.histories[key], spec, seconds);
}

}  // namespace cowslipmast::sched
