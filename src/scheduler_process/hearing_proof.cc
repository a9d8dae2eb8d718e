#include "src/scheduler_process/hearing_proof.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "src/scheduler_process/clock.h"

namespace cowslipmast::sched {

namespace {

// A longer time in a record is malformed; it would overflow in sums.
constexpr int64_t kMaxMillis = 3'600'000;

}  // namespace

std::string EncodeHearingProof(const HearingProof& proof) {
  return nlohmann::json{{"epoch", proof.epoch.value()},
                        {"number", proof.number},
                        {"heard_ms", ToMillis(proof.heard_age)}}
      .dump();
}

std::optional<HearingProof> DecodeHearingProof(std::string_view bytes) {
  const auto j = nlohmann::json::parse(bytes, nullptr, false);
  if (j.is_discarded())
    return std::nullopt;
  try {
    const int64_t heard_ms = j.at("heard_ms").get<int64_t>();
    return HearingProof{.epoch = Epoch(j.at("epoch").get<uint64_t>()),
                        .number = j.at("number").get<uint64_t>(),
                        .heard_age = std::chrono::milliseconds(
                            std::clamp<int64_t>(heard_ms, 0, kMaxMillis))};
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

}  // namespace cowslipmast::sched
