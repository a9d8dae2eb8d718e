#ifndef COWSLIPMAST_SRC_SCHEDULER_HANDOVER_H_
#define COWSLIPMAST_SRC_SCHEDULER_HANDOVER_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cowslipmast/ids.h"
#include "cowslipmast/units.h"
#include "cowslipmast/vm.h"
#include "src/net/http_client.h"
#include "src/scheduler/claim.h"

namespace cowslipmast::sched {

/** A process that could own the cell, as it tells the owner with each question.
 */
struct Candidate {
  Endpoint control;
  bool may_claim = false;
  Duration uptime{0};
  Duration claim_delay{0};  // shorter where the work of the owner fits better
};

std::string EncodeCandidate(const Candidate& candidate);
std::optional<Candidate> DecodeCandidate(std::string_view bytes);

/** Candidates that the owner heard from, and when. */
struct Candidates {
  struct Heard {
    Candidate candidate;
    TimePoint at;
  };
  std::map<Endpoint, Heard> heard;
};

void NoteCandidate(Candidates& candidates,
                   const Candidate& candidate,
                   TimePoint now);

/** Processes to offer the cell to before a planned stop, the best first. */
std::vector<Endpoint> RankCandidates(const Candidates& candidates,
                                     Duration own_uptime,
                                     TimePoint now);

/** Offers the cell of the own claim to a process that is to claim it at once.
 * Returns its claim; nothing if it did not say that it has won one. */
asio::awaitable<std::optional<Claim>> OfferCell(HttpClient& client,
                                                Endpoint control,
                                                Claim own);

/** Path on the control address that takes an offer: the claim that is given up,
 * answered with the new one. */
inline constexpr std::string_view kOfferPath = "/v1/offer";

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHEDULER_HANDOVER_H_
