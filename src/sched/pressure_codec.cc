#include "src/sched/pressure_codec.h"

#include <cmath>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>
#include <vector>

namespace cowslipmast::sched {

namespace {

using nlohmann::json;

struct UsedImages {
  std::set<ImageId> serving;
  std::set<ImageId> filling;
};

UsedImages FindUsedImages(const State& state) {
  UsedImages used;
  for (const auto& [id, job] : state.jobs) {
    if (job->ended_at)
      continue;
    for (const StepSpec& step : job->spec.steps)
      (step.fills ? used.filling : used.serving).insert(step.image);
  }
  return used;
}

json EncodeServing(const PressureModel& model,
                   const ServingModel& serving,
                   const std::set<ImageId>& filling) {
  const size_t size = serving.mean.size();
  std::vector<ImageIndex> kept;
  json names = json::array();
  for (const ImageId& image : filling) {
    const auto found = model.filling_index.find(image);
    if (found == model.filling_index.end() || found->second >= size)
      continue;
    kept.push_back(found->second);
    names.push_back(image.value());
  }
  json mean = json::array();
  json covariance = json::array();
  for (const ImageIndex row : kept) {
    mean.push_back(serving.mean[row]);
    for (const ImageIndex column : kept)
      covariance.push_back(serving.covariance[row * size + column]);
  }
  return {{"t", serving.shortest_tail_ms},
          {"f", std::move(names)},
          {"m", std::move(mean)},
          {"c", std::move(covariance)}};
}

struct StoredServing {
  double shortest_tail_ms = 0;
  std::vector<std::string> filling;
  std::vector<double> mean;
  std::vector<double> covariance;
};

bool AreFinite(const std::vector<double>& values) {
  for (const double value : values) {
    if (!std::isfinite(value))
      return false;
  }
  return true;
}

// Throws json::exception if the shape is another one.
StoredServing DecodeServing(const json& stored) {
  return {.shortest_tail_ms = stored.at("t").get<double>(),
          .filling = stored.at("f").get<std::vector<std::string>>(),
          .mean = stored.at("m").get<std::vector<double>>(),
          .covariance = stored.at("c").get<std::vector<double>>()};
}

bool IsWhole(const StoredServing& stored) {
  const size_t size = stored.filling.size();
  return stored.mean.size() == size &&
         stored.covariance.size() == size * size &&
         std::isfinite(stored.shortest_tail_ms) && AreFinite(stored.mean) &&
         AreFinite(stored.covariance);
}

void ApplyServing(PressureModel& model,
                  const ImageId& image,
                  const StoredServing& stored) {
  std::vector<ImageIndex> places;
  for (const std::string& name : stored.filling)
    places.push_back(FillingImage(model, ImageId(name)));
  ServingModel& serving = model.serving[ServingImage(model, image)];
  GrowModel(serving, model.filling_index.size());
  const size_t size = serving.mean.size();
  serving.shortest_tail_ms = stored.shortest_tail_ms;
  for (size_t row = 0; row < places.size(); ++row) {
    serving.mean[places[row]] = stored.mean[row];
    for (size_t column = 0; column < places.size(); ++column) {
      serving.covariance[places[row] * size + places[column]] =
          stored.covariance[row * places.size() + column];
    }
  }
}

}  // namespace

std::string EncodePressures(const State& state) {
  const UsedImages used = FindUsedImages(state);
  json stored = json::object();
  for (const auto& [image, index] : state.pressure.serving_index) {
    if (used.serving.count(image) > 0)
      stored[image.value()] = EncodeServing(
          state.pressure, state.pressure.serving[index], used.filling);
  }
  const std::vector<uint8_t> bytes = json::to_cbor(stored);
  return {bytes.begin(), bytes.end()};
}

bool ApplyPressures(State& state, std::string_view bytes) {
  const json stored = json::from_cbor(bytes, true, false);
  if (!stored.is_object())
    return false;
  std::vector<std::pair<ImageId, StoredServing>> decoded;
  try {
    for (const auto& [image, serving] : stored.items()) {
      decoded.emplace_back(ImageId(image), DecodeServing(serving));
      if (!IsWhole(decoded.back().second))
        return false;
    }
  } catch (const json::exception&) {
    return false;
  }
  for (const auto& [image, serving] : decoded)
    ApplyServing(state.pressure, image, serving);
  return true;
}

}  // namespace cowslipmast::sched
