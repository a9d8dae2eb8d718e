#include "src/scheduler_process/peer_health.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "src/scheduler_process/clock.h"

namespace cowslipmast::sched {

namespace {

// A longer time in a message is malformed; it would overflow in sums.
constexpr int64_t kMaxMillis = 3'600'000;

Duration BoundedMillis(int64_t ms) {
  return std::chrono::milliseconds(std::clamp<int64_t>(ms, 0, kMaxMillis));
}

}  // namespace

std::string EncodePeerHealth(const PeerHealth& health) {
  nlohmann::json j = {{"epoch", health.epoch.value()},
                      {"owning", health.owning},
                      {"patience_ms", ToMillis(health.response_timeout)}};
  if (health.proof_age)
    j["proof_age_ms"] = ToMillis(*health.proof_age);
  return j.dump();
}

std::optional<PeerHealth> DecodePeerHealth(std::string_view body) {
  const auto j = nlohmann::json::parse(body, nullptr, false);
  if (j.is_discarded())
    return std::nullopt;
  try {
    PeerHealth health{
        .epoch = Epoch(j.at("epoch").get<uint64_t>()),
        .owning = j.at("owning").get<bool>(),
        .proof_age = std::nullopt,
        .response_timeout = BoundedMillis(j.value("patience_ms", int64_t{0}))};
    if (j.contains("proof_age_ms"))
      health.proof_age = BoundedMillis(j.at("proof_age_ms").get<int64_t>());
    return health;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

}  // namespace cowslipmast::sched
