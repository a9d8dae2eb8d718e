#include "src/net/connection_choice.h"

#include <tuple>

namespace cowslipmast {

namespace {

// A peer that has not taken a response for this long is not reading.
constexpr auto kMaxAnswerTime = std::chrono::seconds(2);

bool MayGiveWay(const ConnectionUse& use,
                std::chrono::steady_clock::time_point now) {
  if (use.phase == ConnectionPhase::kAnswering)
    return now - use.since > kMaxAnswerTime;
  return use.phase != ConnectionPhase::kHandling;
}

// True if `a` gives way before `b`.
bool GivesWayBefore(const ConnectionUse& a, const ConnectionUse& b) {
  return std::tuple(a.phase, b.connections_of_address, a.since) <
         std::tuple(b.phase, a.connections_of_address, b.since);
}

}  // namespace

std::optional<size_t> ChooseToReplace(
    const std::vector<ConnectionUse>& uses,
    std::chrono::steady_clock::time_point now) {
  std::optional<size_t> chosen;
  for (size_t i = 0; i < uses.size(); ++i) {
    if (!MayGiveWay(uses[i], now))
      continue;
    if (!chosen || GivesWayBefore(uses[i], uses[*chosen]))
      chosen = i;
  }
  return chosen;
}

std::optional<size_t> ChooseToShed(const std::vector<MessageUse>& uses) {
  std::optional<size_t> chosen;
  for (size_t i = 0; i < uses.size(); ++i) {
    if (uses[i].is_complete)
      continue;
    if (!chosen || uses[i].bytes > uses[*chosen].bytes)
      chosen = i;
  }
  return chosen;
}

}  // namespace cowslipmast
