#include "src/scheduler_process/handover.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "src/scheduler_process/cell_path.h"
#include "src/scheduler_process/clock.h"
#include "src/scheduler_process/event_log.h"

namespace cowslipmast::sched {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

// Candidates send the owner a health request every 300 ms; one that missed
// three may be gone.
constexpr Duration kMaxReportAge = milliseconds(1000);
// In a rolling restart the processes that started before the owner are stopped
// later. A slower candidate that is not stopped costs tens of ms more, less
// than another change of owner.
constexpr Duration kEarlierStartPenalty = milliseconds(200);
// A claim is one append: 6 ms, and up to 1.2 s in a slow store. The grace time
// of a planned stop is at least 4 s.
constexpr Duration kOfferTimeout = milliseconds(1800);
// Difference of claim delays that is worth a handover: that of a VM with 0.5
// core and one with 0.1 core.
constexpr Duration kMinHandoverGain = milliseconds(250);
// Of one cell; anyone who reaches the control address can report.
constexpr size_t kMaxCandidates = 1024;

Duration CandidateRank(const Candidate& candidate, Duration own_uptime) {
  return candidate.claim_delay +
         (candidate.uptime >= own_uptime ? kEarlierStartPenalty : Duration(0));
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
    const Candidate candidate{
        .control = {j.at("address").get<std::string>(),
                    j.at("port").get<uint16_t>()},
        .may_claim = j.at("may_claim").get<bool>(),
        .uptime = milliseconds(j.at("uptime_ms").get<int64_t>()),
        .claim_delay = milliseconds(j.at("claim_delay_ms").get<int64_t>())};
    boost::system::error_code error;
    asio::ip::make_address(candidate.control.address, error);
    return error ? std::nullopt : std::optional(candidate);
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

void NoteCandidate(Candidates& candidates,
                   const Candidate& candidate,
                   TimePoint now) {
  std::erase_if(candidates.last_reports, [now](const auto& entry) {
    return now - entry.second.at > kMaxReportAge;
  });
  if (candidates.last_reports.size() >= kMaxCandidates &&
      !candidates.last_reports.contains(candidate.control))
    return;
  candidates.last_reports[candidate.control] = {candidate, now};
}

std::vector<Endpoint> RankCandidates(const Candidates& candidates,
                                     Duration own_uptime,
                                     TimePoint now) {
  std::vector<std::pair<Duration, Endpoint>> ranked;
  for (const auto& [endpoint, last_report] : candidates.last_reports) {
    if (last_report.candidate.may_claim &&
        now - last_report.at <= kMaxReportAge)
      ranked.emplace_back(CandidateRank(last_report.candidate, own_uptime),
                          endpoint);
  }
  std::sort(ranked.begin(), ranked.end());
  std::vector<Endpoint> endpoints;
  endpoints.reserve(ranked.size());
  for (const auto& [rank, endpoint] : ranked)
    endpoints.push_back(endpoint);
  return endpoints;
}

std::optional<Endpoint> FindBetterOwner(const Candidates& candidates,
                                        Duration own_delay,
                                        TimePoint now) {
  const Candidates::LastReport* best = nullptr;
  for (const auto& [endpoint, report] : candidates.last_reports) {
    if (report.candidate.may_claim && now - report.at <= kMaxReportAge &&
        (best == nullptr ||
         report.candidate.claim_delay < best->candidate.claim_delay))
      best = &report;
  }
  if (best == nullptr ||
      best->candidate.claim_delay + kMinHandoverGain > own_delay)
    return std::nullopt;
  return best->candidate.control;
}

asio::awaitable<std::optional<CellClaim>> OfferCell(HttpClient& client,
                                                    Endpoint control,
                                                    CellId cell,
                                                    CellClaim own) {
  HttpRequest request;
  request.method = "POST";
  request.path = MakeCellPath(cell, kOfferResource);
  request.body = EncodeCellClaim(own);
  NetError error;
  const auto response =
      co_await client.Call(control, std::move(request), kOfferTimeout, error);
  std::optional<CellClaim> claim;
  if (response && response->status == 200)
    claim = DecodeCellClaim(response->body);
  LogEvent("cell_offered",
           {{"cell", static_cast<int64_t>(cell.value())},
            {"to", control.address},
            {"epoch", static_cast<int64_t>(own.epoch.value())},
            {"taken", static_cast<int64_t>(claim.has_value())},
            {"detail", response ? response->body : error.detail}});
  co_return claim;
}

}  // namespace cowslipmast::sched
