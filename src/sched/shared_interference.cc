#include "src/sched/shared_interference.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "src/core/cbor.h"

namespace cowslipmast::sched {

namespace {

using nlohmann::json;

// A pair whose variance is nearly the initial one has not been observed.
constexpr double kLearnedShareOfVariance = 0.9;
// Cells see the same waves of load, so their estimates are not independent:
// each counts as if its variance were this much larger.
constexpr double kPeerVarianceFactor = 1.5;
constexpr double kMinVariance = 1e-6;
// Images that do not fit into an answer of this size are left out.
constexpr size_t kMaxEncodedBytes = 192 * 1024;
constexpr size_t kEntryOverhead = 16;

struct LearnedPair {
  std::string best_effort;
  double mean = 0;
  double variance = 0;
};

struct LearnedImage {
  std::string latency_critical;
  double shortest_tail_ms = 0;
  std::vector<LearnedPair> pairs;
};

// Throws json::exception if a field is missing or has another type.
LearnedImage DecodeImage(const std::string& name, const json& stored) {
  LearnedImage image{.latency_critical = name,
                     .shortest_tail_ms = stored.at("t").get<double>(),
                     .pairs = {}};
  for (const json& pair : stored.at("p")) {
    const LearnedPair learned{.best_effort = pair.at(0).get<std::string>(),
                              .mean = pair.at(1).get<double>(),
                              .variance = pair.at(2).get<double>()};
    if (std::isfinite(learned.mean) && std::isfinite(learned.variance) &&
        learned.variance > 0)
      image.pairs.push_back(learned);
  }
  return image;
}

std::optional<std::vector<LearnedImage>> Decode(std::string_view bytes) {
  const json stored = ParseCbor(bytes);
  if (!stored.is_object())
    return std::nullopt;
  try {
    std::vector<LearnedImage> images;
    for (const auto& [name, image] : stored.items())
      images.push_back(DecodeImage(name, image));
    return images;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

void AddPeerImage(InterferenceModel& model, const LearnedImage& image) {
  LatencyCriticalModel& known =
      model.latency_critical_models[LatencyCriticalImageIndex(
          model, ImageId(image.latency_critical))];
  if (image.shortest_tail_ms > 0 &&
      (known.peer_shortest_tail_ms <= 0 ||
       image.shortest_tail_ms < known.peer_shortest_tail_ms))
    known.peer_shortest_tail_ms = image.shortest_tail_ms;
  for (const LearnedPair& pair : image.pairs) {
    const ImageIndex index =
        BestEffortImageIndex(model, ImageId(pair.best_effort));
    if (known.peers.size() <= index)
      known.peers.resize(index + 1);
    const double variance =
        std::max(kMinVariance, pair.variance * kPeerVarianceFactor);
    // What the peer has learned beyond the initial estimate, which this cell
    // has, too.
    const double precision = 1 / variance - 1 / kInitialVariance;
    if (precision <= 0)
      continue;
    known.peers[index].precision += precision;
    known.peers[index].weighted_mean +=
        pair.mean / variance - kInitialMean / kInitialVariance;
  }
}

}  // namespace

std::string EncodeOwnEstimates(const InterferenceModel& model) {
  std::map<ImageIndex, std::string> names;
  for (const auto& [image, index] : model.best_effort_index)
    names[index] = image.value();
  json stored = json::object();
  size_t total = 0;
  for (const auto& [image, index] : model.latency_critical_index) {
    const LatencyCriticalModel& known = model.latency_critical_models[index];
    const size_t size = known.mean.size();
    json pairs = json::array();
    for (size_t i = 0; i < size; ++i) {
      const double variance = known.covariance[i * size + i];
      if (variance < kInitialVariance * kLearnedShareOfVariance)
        pairs.push_back(
            {names[static_cast<ImageIndex>(i)], known.mean[i], variance});
    }
    if (pairs.empty() && known.shortest_tail_ms <= 0)
      continue;
    json entry = {{"t", known.shortest_tail_ms}, {"p", std::move(pairs)}};
    const size_t entry_size =
        json::to_cbor(entry).size() + image.value().size() + kEntryOverhead;
    if (total + entry_size > kMaxEncodedBytes)
      continue;
    total += entry_size;
    stored[image.value()] = std::move(entry);
  }
  const std::vector<uint8_t> bytes = json::to_cbor(stored);
  return {bytes.begin(), bytes.end()};
}

size_t SetPeerEstimates(InterferenceModel& model,
                        const std::vector<std::string>& encoded) {
  for (LatencyCriticalModel& known : model.latency_critical_models) {
    known.peers.clear();
    known.peer_shortest_tail_ms = 0;
  }
  size_t unreadable = 0;
  for (const std::string& bytes : encoded) {
    const auto images = Decode(bytes);
    if (!images) {
      ++unreadable;
      continue;
    }
    for (const LearnedImage& image : *images)
      AddPeerImage(model, image);
  }
  return unreadable;
}

}  // namespace cowslipmast::sched
