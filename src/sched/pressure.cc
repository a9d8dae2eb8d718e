#include "src/sched/pressure.h"

#include <algorithm>
#include <cmath>

namespace cowslipmast::sched {

namespace {

// Before anything is known a filling image is taken to press a little. Pairs
// were seen to have a pressure near 0, or of 1 to 5.
constexpr double kFirstMean = 0.2;
constexpr double kFirstVariance = 1.0;
// Variance of a serving task's own load around the usual one: waves between 0.2
// and 0.65 have a deviation of 0.16. Successive listings of a task show the
// same wave, so that many of them count as one independent observation.
constexpr double kLevelNoise = 0.16 * 0.16 * 12;
// Variance of the change of a task's own load between two listings: 0.08 a
// second, and tails in whole milliseconds.
constexpr double kChangeNoise = 0.09 * 0.09;
// Growth of the variance with each observation, so that a pressure that changes
// is learned again.
constexpr double kDrift = 0.00002;
// Utilisation from which on the tail says only that it is at least that.
constexpr double kSaturated = 0.9;
// Part of the deviation that is added to an uncertain pressure.
constexpr double kCaution = 0.3;
// A smaller pressure cannot be told from the noise. It counts as none, since a
// serving task at the height of its load has no room for any: the task's own
// load then contains it.
constexpr double kLeastPressure = 0.35;
// The tail of an idle task: the shortest that was seen was at a load of 0.2.
constexpr double kIdleShare = 0.8;
// Limits of the idle tail as shares of the latency target.
constexpr double kLeastIdle = 0.1;
constexpr double kMostIdle = 0.3;

double Predict(const ServingModel& model,
               const std::vector<FillingShare>& shares) {
  double utilisation = 0;
  for (const FillingShare& share : shares)
    utilisation += model.mean[share.image] * share.share;
  return utilisation;
}

// covariance * shares
std::vector<double> Project(const ServingModel& model,
                            const std::vector<FillingShare>& shares) {
  const size_t size = model.mean.size();
  std::vector<double> projected(size, 0.0);
  for (const FillingShare& share : shares) {
    for (size_t i = 0; i < size; ++i)
      projected[i] += model.covariance[i * size + share.image] * share.share;
  }
  return projected;
}

// One step of the filter, for a measurement that differs from the expected one
// by `surprise`.
void Update(ServingModel& model,
            double surprise,
            double noise,
            const std::vector<FillingShare>& shares) {
  const size_t size = model.mean.size();
  for (size_t i = 0; i < size; ++i)
    model.covariance[i * size + i] += kDrift;
  const std::vector<double> projected = Project(model, shares);
  double variance = noise;
  for (const FillingShare& share : shares)
    variance += projected[share.image] * share.share;
  for (size_t i = 0; i < size; ++i) {
    const double gain = projected[i] / variance;
    model.mean[i] += gain * surprise;
    for (size_t j = 0; j < size; ++j)
      model.covariance[i * size + j] -= gain * projected[j];
  }
}

}  // namespace

void GrowModel(ServingModel& model, size_t size) {
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
      covariance[i * size + i] = kFirstVariance;
  }
  model.mean.resize(size, kFirstMean);
  model.covariance = std::move(covariance);
}

ImageIndex ServingImage(PressureModel& model, const ImageId& image) {
  const auto next = static_cast<ImageIndex>(model.serving_index.size());
  const auto [entry, added] = model.serving_index.emplace(image, next);
  if (added)
    model.serving.emplace_back();
  return entry->second;
}

ImageIndex FillingImage(PressureModel& model, const ImageId& image) {
  const auto next = static_cast<ImageIndex>(model.filling_index.size());
  return model.filling_index.emplace(image, next).first->second;
}

double UtilisationAt(const ServingModel& model,
                     double tail_ms,
                     double target_ms) {
  const double seen = model.shortest_tail_ms > 0
                          ? model.shortest_tail_ms * kIdleShare
                          : target_ms * kMostIdle;
  const double idle =
      std::clamp(seen, target_ms * kLeastIdle, target_ms * kMostIdle);
  return std::clamp(1.0 - idle / std::max(tail_ms, idle), 0.0, 1.0);
}

void ObserveLevel(PressureModel& model,
                  ImageIndex serving,
                  double observed,
                  const std::vector<FillingShare>& shares) {
  if (shares.empty())
    return;
  ServingModel& entry = model.serving[serving];
  GrowModel(entry, model.filling_index.size());
  const double surprise = observed - kUsualOwnLoad - Predict(entry, shares);
  if (observed < kSaturated || surprise > 0)
    Update(entry, surprise, kLevelNoise, shares);
}

void ObserveChange(PressureModel& model,
                   ImageIndex serving,
                   double before,
                   double after,
                   const std::vector<FillingShare>& changes) {
  if (changes.empty() || before >= kSaturated)
    return;
  ServingModel& entry = model.serving[serving];
  GrowModel(entry, model.filling_index.size());
  const double surprise = after - before - Predict(entry, changes);
  if (after < kSaturated || surprise > 0)
    Update(entry, surprise, kChangeNoise, changes);
}

void AddShare(std::vector<FillingShare>& shares,
              ImageIndex image,
              double share) {
  const auto known = std::find_if(
      shares.begin(), shares.end(),
      [image](const FillingShare& other) { return other.image == image; });
  if (known != shares.end())
    known->share += share;
  else
    shares.push_back({image, share});
}

std::vector<FillingShare> ChangeOfShares(
    const std::vector<FillingShare>& before,
    const std::vector<FillingShare>& after) {
  std::vector<FillingShare> changes = after;
  for (const FillingShare& old : before)
    AddShare(changes, old.image, -old.share);
  return changes;
}

double Pressure(const PressureModel& model,
                ImageIndex serving,
                ImageIndex filling) {
  const ServingModel& entry = model.serving[serving];
  if (filling >= entry.mean.size())
    return kFirstMean + kCaution * std::sqrt(kFirstVariance);
  const double variance =
      entry.covariance[filling * entry.mean.size() + filling];
  const double estimate =
      entry.mean[filling] + kCaution * std::sqrt(std::max(0.0, variance));
  return estimate < kLeastPressure ? 0.0 : estimate;
}

double TotalPressure(const PressureModel& model,
                     ImageIndex serving,
                     const std::vector<FillingShare>& shares) {
  double total = 0;
  for (const FillingShare& share : shares)
    total += Pressure(model, serving, share.image) * share.share;
  return total;
}

}  // namespace cowslipmast::sched
