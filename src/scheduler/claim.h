#ifndef COWSLIPMAST_SRC_SCHEDULER_CLAIM_H_
#define COWSLIPMAST_SRC_SCHEDULER_CLAIM_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "cowslipmast/ids.h"
#include "cowslipmast/vm.h"

namespace cowslipmast::sched {

/** Who owns the cell, as stored. */
struct Claim {
  Epoch epoch;
  ProcessId process;
  Endpoint control;       // where the owner answers other processes
  bool released = false;  // by a planned stop: anyone may claim at once

  bool operator==(const Claim&) const = default;
};

/** Key of the claim in its topic. */
inline constexpr std::string_view kClaimKey = "cell";

std::string EncodeClaim(const Claim& claim);
std::optional<Claim> DecodeClaim(std::string_view bytes);

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHEDULER_CLAIM_H_
