#include "src/sched/interference_model.h"

#include <algorithm>
#include <cmath>

namespace cowslipmast::sched {

namespace {

// Variance of a latency-critical task's own utilisation around the initial
// estimate: waves between 0.2 and 0.65 have a standard deviation of 0.16.
// Successive listings of a task show the same wave, so the factor makes many of
// them count as one independent observation.
constexpr double kUtilisationNoise = 0.16 * 0.16 * 12;
// Variance of the change of a task's own utilisation between two listings: 0.08
// a second, plus the rounding of tail latencies to whole milliseconds.
constexpr double kUtilisationChangeNoise = 0.09 * 0.09;
// Growth of the variance with each observation, up to the initial one, so that
// the filter follows a coefficient that changes.
constexpr double kVarianceGrowth = 0.00002;
// At and above this utilisation a tail latency only shows a lower bound.
constexpr double kSaturatedUtilisation = 0.9;
// Part of the standard deviation that is added to an uncertain coefficient.
constexpr double kUncertaintyWeight = 0.3;
constexpr double kMinVariance = 1e-6;
// A smaller coefficient cannot be told from noise and counts as 0: otherwise a
// latency-critical task at its peak would leave no headroom for any best-effort
// task. The task's own utilisation then contains the difference.
constexpr double kMinInterference = 0.35;
// Tail latency of an idle task as a share of the shortest one observed, which
// occurs at a utilisation of 0.2.
constexpr double kIdleShareOfShortestTail = 0.8;
// Limits of the idle tail latency as shares of the latency target.
constexpr double kMinIdleShareOfTarget = 0.1;
constexpr double kMaxIdleShareOfTarget = 0.3;
// A model needs memory for each pair of best-effort images. Callers choose the
// names of images, so that their number has no other bound.
constexpr size_t kMaxImages = 96;

// Images beyond the bound share the model of tasks without an image.
ImageId BoundedImage(
    const absl::flat_hash_map<ImageId, ImageIndex>& known_images,
    const ImageId& image) {
  const bool has_own_model =
      known_images.contains(image) || known_images.size() < kMaxImages;
  return has_own_model ? image : ImageId();
}

double Predict(const LatencyCriticalModel& model,
               const std::vector<BestEffortShare>& shares) {
  double utilisation = 0;
  for (const BestEffortShare& share : shares)
    utilisation += model.mean[share.image] * share.share;
  return utilisation;
}

// Returns covariance * shares.
std::vector<double> Project(const LatencyCriticalModel& model,
                            const std::vector<BestEffortShare>& shares) {
  const size_t size = model.mean.size();
  std::vector<double> projected(size, 0.0);
  for (const BestEffortShare& share : shares) {
    for (size_t i = 0; i < size; ++i)
      projected[i] += model.covariance[i * size + share.image] * share.share;
  }
  return projected;
}

// One update of the Kalman filter: `innovation` is the measured value minus the
// predicted one, `noise` the variance of the measurement.
void UpdateFilter(LatencyCriticalModel& model,
                  double innovation,
                  double noise,
                  const std::vector<BestEffortShare>& shares) {
  const size_t size = model.mean.size();
  for (size_t i = 0; i < size; ++i) {
    double& variance = model.covariance[i * size + i];
    if (variance < kInitialVariance)
      variance += kVarianceGrowth;
  }
  const std::vector<double> projected = Project(model, shares);
  double variance = noise;
  for (const BestEffortShare& share : shares)
    variance += projected[share.image] * share.share;
  for (size_t i = 0; i < size; ++i) {
    const double gain = projected[i] / variance;
    model.mean[i] += gain * innovation;
    for (size_t j = 0; j < size; ++j)
      model.covariance[i * size + j] -= gain * projected[j];
  }
}

}  // namespace

void GrowModel(LatencyCriticalModel& model, size_t size) {
  const size_t old = model.mean.size();
  if (size <= old)
    return;
  std::vector<double> covariance(size * size, 0.0);
  for (size_t i = 0; i < size; ++i) {
    for (size_t j = 0; j < size; ++j) {
      if (i < old && j < old)
        covariance[i * size + j] = model.covariance[i * old + j];
    }
    if (i >= old)
      covariance[i * size + i] = kInitialVariance;
  }
  model.mean.resize(size, kInitialMean);
  model.covariance = std::move(covariance);
}

ImageIndex LatencyCriticalImageIndex(InterferenceModel& model,
                                     const ImageId& image) {
  const auto next =
      static_cast<ImageIndex>(model.latency_critical_index.size());
  const auto [entry, added] = model.latency_critical_index.emplace(
      BoundedImage(model.latency_critical_index, image), next);
  if (added)
    model.latency_critical_models.emplace_back();
  return entry->second;
}

ImageIndex BestEffortImageIndex(InterferenceModel& model,
                                const ImageId& image) {
  const auto next = static_cast<ImageIndex>(model.best_effort_index.size());
  return model.best_effort_index
      .emplace(BoundedImage(model.best_effort_index, image), next)
      .first->second;
}

double UtilisationAt(const LatencyCriticalModel& model,
                     double tail_ms,
                     double target_ms) {
  double shortest = model.shortest_tail_ms;
  if (model.peer_shortest_tail_ms > 0 &&
      (shortest <= 0 || model.peer_shortest_tail_ms < shortest))
    shortest = model.peer_shortest_tail_ms;
  const double seen = shortest > 0 ? shortest * kIdleShareOfShortestTail
                                   : target_ms * kMaxIdleShareOfTarget;
  const double idle = std::clamp(seen, target_ms * kMinIdleShareOfTarget,
                                 target_ms * kMaxIdleShareOfTarget);
  return std::clamp(1.0 - idle / std::max(tail_ms, idle), 0.0, 1.0);
}

void ObserveUtilisation(InterferenceModel& model,
                        ImageIndex latency_critical,
                        double observed,
                        const std::vector<BestEffortShare>& shares) {
  if (shares.empty())
    return;
  LatencyCriticalModel& entry = model.latency_critical_models[latency_critical];
  GrowModel(entry, model.best_effort_index.size());
  const double innovation =
      observed - kInitialOwnUtilisation - Predict(entry, shares);
  if (observed < kSaturatedUtilisation || innovation > 0)
    UpdateFilter(entry, innovation, kUtilisationNoise, shares);
}

void ObserveUtilisationChange(InterferenceModel& model,
                              ImageIndex latency_critical,
                              double before,
                              double after,
                              const std::vector<BestEffortShare>& changes) {
  if (changes.empty() || before >= kSaturatedUtilisation)
    return;
  LatencyCriticalModel& entry = model.latency_critical_models[latency_critical];
  GrowModel(entry, model.best_effort_index.size());
  const double innovation = after - before - Predict(entry, changes);
  if (after < kSaturatedUtilisation || innovation > 0)
    UpdateFilter(entry, innovation, kUtilisationChangeNoise, changes);
}

void AddShare(std::vector<BestEffortShare>& shares,
              ImageIndex image,
              double share) {
  const auto known = std::find_if(
      shares.begin(), shares.end(),
      [image](const BestEffortShare& other) { return other.image == image; });
  if (known != shares.end())
    known->share += share;
  else
    shares.push_back({image, share});
}

std::vector<BestEffortShare> ShareChanges(
    const std::vector<BestEffortShare>& before,
    const std::vector<BestEffortShare>& after) {
  std::vector<BestEffortShare> changes = after;
  for (const BestEffortShare& old : before)
    AddShare(changes, old.image, -old.share);
  return changes;
}

double EstimateInterference(const InterferenceModel& model,
                            ImageIndex latency_critical,
                            ImageIndex best_effort) {
  const LatencyCriticalModel& entry =
      model.latency_critical_models[latency_critical];
  double mean = kInitialMean;
  double variance = kInitialVariance;
  if (best_effort < entry.mean.size()) {
    mean = entry.mean[best_effort];
    variance = std::max(
        kMinVariance,
        entry.covariance[best_effort * entry.mean.size() + best_effort]);
  }
  if (best_effort < entry.peers.size()) {
    const PeerEstimate& peers = entry.peers[best_effort];
    const double precision = 1 / variance + peers.precision;
    mean = (mean / variance + peers.weighted_mean) / precision;
    variance = 1 / precision;
  }
  const double estimate = mean + kUncertaintyWeight * std::sqrt(variance);
  return estimate < kMinInterference ? 0.0 : estimate;
}

double TotalInterference(const InterferenceModel& model,
                         ImageIndex latency_critical,
                         const std::vector<BestEffortShare>& shares) {
  double total = 0;
  for (const BestEffortShare& share : shares)
    total += EstimateInterference(model, latency_critical, share.image) *
             share.share;
  return total;
}

}  // namespace cowslipmast::sched
