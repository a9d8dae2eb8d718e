#ifndef COWSLIPMAST_SRC_SCHEDULER_PROCESS_PEER_HEALTH_H_
#define COWSLIPMAST_SRC_SCHEDULER_PROCESS_PEER_HEALTH_H_

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include "cowslipmast/ids.h"
#include "cowslipmast/units.h"

namespace cowslipmast::sched {

/** Response of a process to a health request. */
struct PeerHealth {
  Epoch epoch;  // epoch of the cell that it owns
  bool owning = false;
  std::optional<Duration>
      proof_age;  // age of the last store append that proved its ownership
  /** How long others should wait for a response before they claim; an owner of
   * many workers is sometimes busy for longer. */
  Duration response_timeout{0};
};

/** Time after its claim in which an owner reads the stored state and lists all
 * workers, and may not respond: up to 2.6 s for 490 workers on 0.12 core. */
inline constexpr Duration kOwnerStartupPeriod = std::chrono::milliseconds(4000);

std::string EncodePeerHealth(const PeerHealth& health);
std::optional<PeerHealth> DecodePeerHealth(std::string_view body);

/** Control path that returns `PeerHealth`; the request body is a `Candidate`.
 */
inline constexpr std::string_view kHealthPath = "/v1/owner";
}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHEDULER_PROCESS_PEER_HEALTH_H_
