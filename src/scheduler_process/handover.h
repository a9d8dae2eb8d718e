#ifndef COWSLIPMAST_SRC_SCHEDULER_PROCESS_HANDOVER_H_
#define COWSLIPMAST_SRC_SCHEDULER_PROCESS_HANDOVER_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cowslipmast/ids.h"
#include "cowslipmast/units.h"
#include "cowslipmast/vm.h"
#include "src/net/http_client.h"
#include "src/scheduler_process/cell_claim.h"

namespace cowslipmast::sched {

/** A process that could own the cell, as it describes itself to the owner in
 * each health request. */
struct Candidate {
  Endpoint control;
  bool may_claim = false;
  Duration uptime{0};
  // Wait before it claims; shorter on a VM that is better suited as owner.
  Duration claim_delay{0};
};

std::string EncodeCandidate(const Candidate& candidate);
std::optional<Candidate> DecodeCandidate(std::string_view bytes);

/** Latest report of each candidate, by its control address. */
struct Candidates {
  struct LastReport {
    Candidate candidate;
    TimePoint at;
  };
  std::map<Endpoint, LastReport> last_reports;
};

void NoteCandidate(Candidates& candidates,
                   const Candidate& candidate,
                   TimePoint now);

/** Control addresses of the processes to offer the cell to before a planned
 * stop, the best first. */
std::vector<Endpoint> RankCandidates(const Candidates& candidates,
                                     Duration own_uptime,
                                     TimePoint now);

/** Control address of a process that suits so much better as the owner that the
 * pause of a handover pays; nothing if there is none. `own_delay` is the claim
 * delay of the present owner without this cell. Meant for cells that small VMs
 * claimed while the large ones were restarted. */
std::optional<Endpoint> FindBetterOwner(const Candidates& candidates,
                                        Duration own_delay,
                                        TimePoint now);

/** Offers the cell to a process, which claims it at once. Returns its claim;
 * nothing if it did not confirm that it won one. */
asio::awaitable<std::optional<CellClaim>> OfferCell(HttpClient& client,
                                                    Endpoint control,
                                                    CellId cell,
                                                    CellClaim own);

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHEDULER_PROCESS_HANDOVER_H_
