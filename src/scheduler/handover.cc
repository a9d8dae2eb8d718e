#include "src/scheduler/handover.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "src/scheduler/clock.h"
#include "src/scheduler/event_log.h"

namespace cowslipmast::sched {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

// Candidates ask the owner every 300 ms; one that missed three questions may be
// gone.
constexpr Duration kHeardLately = milliseconds(1000);
// In a rolling restart the processes that started before the owner are still to
// be stopped. Waiting for one of the others would cost less than another change
// of owner: tens of ms.
constexpr Duration kStillToBeStopped = milliseconds(200);
// A claim is one append: 6 ms, and up to 1.2 s in a slow store. The grace time
// of a planned stop is 4 s at least.
constexpr Duration kOfferTimeout = milliseconds(1800);

Duration RankOf(const Candidate& candidate, Duration own_uptime) {
  return candidate.claim_delay +
         (candidate.uptime >= own_uptime ? kStillToBeStopped : Duration(0));
}

}  // namespace

std::string EncodeCandidate(const Candidate& candidate) {
  return json{{"address", candidate.control.address},
              {"port", candidate.control.port},
              {"may_claim", candidate.may_claim},
              {"uptime_ms", ToMillis(candidate.uptime)},
              {"claim_delay_ms", ToMillis(candidate.claim_delay)}}
      .dump();
}

std::optional<Candidate> DecodeCandidate(std::string_view bytes) {
  const json j = json::parse(bytes, nullptr, false);
  if (j.is_discarded())
    return std::nullopt;
  try {
    return Candidate{
        .control = {j.at("address").get<std::string>(),
                    j.at("port").get<uint16_t>()},
        .may_claim = j.at("may_claim").get<bool>(),
        .uptime = milliseconds(j.at("uptime_ms").get<int64_t>()),
        .claim_delay = milliseconds(j.at("claim_delay_ms").get<int64_t>())};
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

void NoteCandidate(Candidates& candidates,
                   const Candidate& candidate,
                   TimePoint now) {
  std::erase_if(candidates.heard, [now](const auto& entry) {
    return now - entry.second.at > kHeardLately;
  });
  candidates.heard[candidate.control] = {candidate, now};
}

std::vector<Endpoint> RankCandidates(const Candidates& candidates,
                                     Duration own_uptime,
                                     TimePoint now) {
  std::vector<std::pair<Duration, Endpoint>> ranked;
  for (const auto& [endpoint, heard] : candidates.heard) {
    if (heard.candidate.may_claim && now - heard.at <= kHeardLately)
      ranked.emplace_back(RankOf(heard.candidate, own_uptime), endpoint);
  }
  std::sort(ranked.begin(), ranked.end());
  std::vector<Endpoint> endpoints;
  endpoints.reserve(ranked.size());
  for (const auto& [rank, endpoint] : ranked)
    endpoints.push_back(endpoint);
  return endpoints;
}

asio::awaitable<std::optional<Claim>> OfferCell(HttpClient& client,
                                                Endpoint control,
                                                Claim own) {
  HttpRequest request;
  request.method = "POST";
  request.path = std::string(kOfferPath);
  request.body = EncodeClaim(own);
  NetError error;
  const auto response =
      co_await client.Call(control, std::move(request), kOfferTimeout, error);
  std::optional<Claim> claim;
  if (response && response->status == 200)
    claim = DecodeClaim(response->body);
  LogEvent("cell_offered",
           {{"to", control.address},
            {"epoch", static_cast<int64_t>(own.epoch.value())},
            {"taken", static_cast<int64_t>(claim.has_value())},
            {"detail", response ? response->body : error.detail}});
  co_return claim;
}

}  // namespace cowslipmast::sched
