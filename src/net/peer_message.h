#ifndef COWSLIPMAST_SRC_NET_PEER_MESSAGE_H_
#define COWSLIPMAST_SRC_NET_PEER_MESSAGE_H_

#include <cstdint>
#include <optional>

#include "cowslipmast/ids.h"
#include "cowslipmast/record.h"
#include "cowslipmast/router_message.h"
#include "cowslipmast/units.h"

namespace cowslipmast {

/** State that a process sends to its peers every 500 ms. */
struct Heartbeat {
  ProcessId process;
  RegionId region;
  Role role = Role::kEntry;
  LogOffset folded_next;  // next entry of the `control` stream to fold
  /** Hash of the `control` fold at an offset that all processes choose alike;
   * hashing at each heartbeat would cost 5 ms with 8,000 jobs. */
  uint64_t digest = 0;
  LogOffset digest_at;
  std::optional<Duration> proof_age;
  FreeSlots free_slots;  // entry processes only
  bool draining = false;
};

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_NET_PEER_MESSAGE_H_
