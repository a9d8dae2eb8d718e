#ifndef COWSLIPMAST_SRC_SCHEDULER_PROCESS_CELL_CLAIM_H_
#define COWSLIPMAST_SRC_SCHEDULER_PROCESS_CELL_CLAIM_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "cowslipmast/ids.h"
#include "cowslipmast/sched/cell.h"
#include "cowslipmast/vm.h"
#include "src/scheduler_process/platform_ports.h"

namespace cowslipmast::sched {

/** Record in the store that names the owner of a cell. */
struct CellClaim {
  Epoch epoch;
  ProcessId process;
  Endpoint control;       // where the owner serves other processes
  bool released = false;  // after a planned stop: may be claimed at once
  double cores = 0;       // processor share of the owner's VM; 0 if not known

  bool operator==(const CellClaim&) const = default;
};

/** The layout and the claims of all cells, as stored. */
struct ClaimTable {
  std::optional<CellLayout> layout;  // not set before the first start
  /** True if another version of this program has written the records: this one
   * must own nothing. */
  bool has_other_version = false;
  std::map<CellId, CellClaim> claims;
};

std::string EncodeCellClaim(const CellClaim& claim);
std::optional<CellClaim> DecodeCellClaim(std::string_view bytes);

KeyedRecord MakeClaimRecord(CellId cell, const CellClaim& claim);
KeyedRecord MakeLayoutRecord(const CellLayout& layout);
/** Adds one record to the table. A record that cannot be read is logged and has
 * no effect. */
void ApplyClaimRecord(ClaimTable& table, const KeyedRecord& record);

/** All that a process knows, for other processes. */
std::string EncodeClaimTable(const ClaimTable& table);
/** Returns nothing if the bytes are not a table. */
std::optional<ClaimTable> DecodeClaimTable(std::string_view bytes);

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHEDULER_PROCESS_CELL_CLAIM_H_
