#ifndef COWSLIPMAST_SRC_SCHEDULER_PROCESS_CELL_LOAD_CODEC_H_
#define COWSLIPMAST_SRC_SCHEDULER_PROCESS_CELL_LOAD_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "cowslipmast/sched/cell.h"

namespace cowslipmast::sched {

/** Encodes a load as JSON; the inverse of `DecodeCellLoad`. */
std::string EncodeCellLoad(const CellLoad& load);

/** Returns nothing if the bytes are not a load. */
std::optional<CellLoad> DecodeCellLoad(std::string_view bytes);

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHEDULER_PROCESS_CELL_LOAD_CODEC_H_
