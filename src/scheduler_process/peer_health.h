#ifndef COWSLIPMAST_SRC_SCHEDULER_PROCESS_PEER_HEALTH_H_
#define COWSLIPMAST_SRC_SCHEDULER_PROCESS_PEER_HEALTH_H_

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include "cowslipmast/ids.h"
#include "cowslipmast/units.h"

namespace cowslipmast::sched {

/** Response of a process to a health request for one cell. */
struct PeerHealth {
  Epoch epoch;  // of the cell, if the process owns it
  bool owning = false;
  std::optional<Duration>
      proof_age;  // age of the last store append that proved its ownership
  /** How long others should wait for a response before they claim; an owner of
   * many workers is sometimes busy for longer. */
  Duration response_timeout{0};
};

std::string EncodePeerHealth(const PeerHealth& health);
std::optional<PeerHealth> DecodePeerHealth(std::string_view body);

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHEDULER_PROCESS_PEER_HEALTH_H_
