#include "src/sched/interference_codec.h"

#include <cmath>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>
#include <vector>

#include "src/core/cbor.h"

namespace cowslipmast::sched {

namespace {

using nlohmann::json;

struct UsedImages {
  std::set<ImageId> latency_critical;
  std::set<ImageId> best_effort;
};

UsedImages FindUsedImages(const State& state) {
  UsedImages used;
  for (const auto& [id, job] : state.jobs) {
    if (job->ended_at)
      continue;
    for (const StepSpec& step : job->spec.steps)
      (step.best_effort ? used.best_effort : used.latency_critical)
          .insert(step.image);
  }
  return used;
}

// A stored number takes nine bytes, and the store accepts records of 256 KB.
// Beyond this many covariances only variances are stored.
constexpr size_t kMaxCovariances = 4000;
// Models that do not fit into a record of this size are left out: their images
// are learned anew by the next owner.
constexpr size_t kMaxEncodedBytes = 192 * 1024;
// Of a name and the members of a map around it.
constexpr size_t kEntryOverhead = 16;

json EncodeModel(const InterferenceModel& model,
                 const LatencyCriticalModel& latency_critical,
                 const std::set<ImageId>& best_effort,
                 bool with_covariances) {
  const size_t size = latency_critical.mean.size();
  std::vector<ImageIndex> kept;
  json names = json::array();
  for (const ImageId& image : best_effort) {
    const auto found = model.best_effort_index.find(image);
    if (found == model.best_effort_index.end() || found->second >= size)
      continue;
    kept.push_back(found->second);
    names.push_back(image.value());
  }
  json mean = json::array();
  json covariance = json::array();
  for (const ImageIndex row : kept) {
    mean.push_back(latency_critical.mean[row]);
    for (const ImageIndex column : kept) {
      if (with_covariances || column == row)
        covariance.push_back(latency_critical.covariance[row * size + column]);
    }
  }
  return {{"t", latency_critical.shortest_tail_ms},
          {"f", std::move(names)},
          {"m", std::move(mean)},
          {"c", std::move(covariance)}};
}

struct StoredModel {
  double shortest_tail_ms = 0;
  std::vector<std::string> best_effort;
  std::vector<double> mean;
  std::vector<double> covariance;  // a square, or its diagonal
};

bool AreFinite(const std::vector<double>& values) {
  for (const double value : values) {
    if (!std::isfinite(value))
      return false;
  }
  return true;
}

// Throws json::exception if a field is missing or has another type.
StoredModel DecodeModel(const json& stored) {
  return {.shortest_tail_ms = stored.at("t").get<double>(),
          .best_effort = stored.at("f").get<std::vector<std::string>>(),
          .mean = stored.at("m").get<std::vector<double>>(),
          .covariance = stored.at("c").get<std::vector<double>>()};
}

bool IsConsistent(const StoredModel& stored) {
  const size_t size = stored.best_effort.size();
  return stored.mean.size() == size &&
         (stored.covariance.size() == size * size ||
          stored.covariance.size() == size) &&
         std::isfinite(stored.shortest_tail_ms) && AreFinite(stored.mean) &&
         AreFinite(stored.covariance);
}

void ApplyModel(InterferenceModel& model,
                const ImageId& image,
                const StoredModel& stored) {
  std::vector<ImageIndex> indices;
  for (const std::string& name : stored.best_effort)
    indices.push_back(BestEffortImageIndex(model, ImageId(name)));
  LatencyCriticalModel& latency_critical =
      model.latency_critical_models[LatencyCriticalImageIndex(model, image)];
  GrowModel(latency_critical, model.best_effort_index.size());
  const size_t size = latency_critical.mean.size();
  latency_critical.shortest_tail_ms = stored.shortest_tail_ms;
  const bool is_diagonal = stored.covariance.size() == indices.size();
  for (size_t row = 0; row < indices.size(); ++row) {
    latency_critical.mean[indices[row]] = stored.mean[row];
    if (is_diagonal) {
      latency_critical.covariance[indices[row] * size + indices[row]] =
          stored.covariance[row];
      continue;
    }
    for (size_t column = 0; column < indices.size(); ++column) {
      latency_critical.covariance[indices[row] * size + indices[column]] =
          stored.covariance[row * indices.size() + column];
    }
  }
}

}  // namespace

std::string EncodeInterference(const State& state, size_t* left_out) {
  const UsedImages used = FindUsedImages(state);
  const bool with_covariances = used.latency_critical.size() *
                                    used.best_effort.size() *
                                    used.best_effort.size() <=
                                kMaxCovariances;
  json stored = json::object();
  size_t size = 0;
  for (const auto& [image, index] : state.interference.latency_critical_index) {
    if (used.latency_critical.count(image) == 0)
      continue;
    json model = EncodeModel(state.interference,
                             state.interference.latency_critical_models[index],
                             used.best_effort, with_covariances);
    const size_t model_size =
        json::to_cbor(model).size() + image.value().size() + kEntryOverhead;
    if (size + model_size > kMaxEncodedBytes) {
      if (left_out != nullptr)
        ++*left_out;
      continue;
    }
    size += model_size;
    stored[image.value()] = std::move(model);
  }
  const std::vector<uint8_t> bytes = json::to_cbor(stored);
  return {bytes.begin(), bytes.end()};
}

bool ApplyInterference(State& state, std::string_view bytes) {
  const json stored = ParseCbor(bytes);
  if (!stored.is_object())
    return false;
  std::vector<std::pair<ImageId, StoredModel>> decoded;
  try {
    for (const auto& [image, latency_critical] : stored.items()) {
      decoded.emplace_back(ImageId(image), DecodeModel(latency_critical));
      if (!IsConsistent(decoded.back().second))
        return false;
    }
  } catch (const json::exception&) {
    return false;
  }
  for (const auto& [image, latency_critical] : decoded)
    ApplyModel(state.interference, image, latency_critical);
  return true;
}

}  // namespace cowslipmast::sched
