#ifndef COWSLIPMAST_SRC_SCHEDULER_PEER_HEALTH_H_
#define COWSLIPMAST_SRC_SCHEDULER_PEER_HEALTH_H_

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include "cowslipmast/ids.h"
#include "cowslipmast/units.h"

namespace cowslipmast::sched {

/** Answer of a process to a question after its health. */
struct PeerHealth {
  Epoch epoch;  // of the cell that it owns
  bool owning = false;
  std::optional<Duration> proof_age;  // of its ownership, from the store
  /** How long others should wait for an answer before they claim: an owner of
   * many workers is busy for longer at times. */
  Duration patience{0};
};

/** For this long after its claim an owner reads the stored state and lists all
 * workers, and may not answer: up to 2.6 s for 490 workers on 0.12 core. */
inline constexpr Duration kOwnerSettles = std::chrono::milliseconds(4000);

std::string EncodePeerHealth(const PeerHealth& health);
std::optional<PeerHealth> DecodePeerHealth(std::string_view body);

/** Path on the control address that answers with `PeerHealth`. */
inline constexpr std::string_view kHealthPath = "/v1/owner";
}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHEDULER_PEER_HEALTH_H_
