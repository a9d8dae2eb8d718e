#ifndef COWSLIPMAST_SRC_SCHEDULER_PROCESS_CELL_CLAIM_H_
#define COWSLIPMAST_SRC_SCHEDULER_PROCESS_CELL_CLAIM_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "cowslipmast/ids.h"
#include "cowslipmast/vm.h"

namespace cowslipmast::sched {

/** Record in the store that names the owner of the cell. */
struct CellClaim {
  Epoch epoch;
  ProcessId process;
  Endpoint control;       // where the owner serves other processes
  bool released = false;  // after a planned stop: may be claimed at once

  bool operator==(const CellClaim&) const = default;
};

/** Key of the claim record in its topic. */
inline constexpr std::string_view kClaimKey = "cell";

std::string EncodeCellClaim(const CellClaim& claim);
std::optional<CellClaim> DecodeCellClaim(std::string_view bytes);

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHEDULER_PROCESS_CELL_CLAIM_H_
