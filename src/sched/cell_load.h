#ifndef COWSLIPMAST_SRC_SCHED_CELL_LOAD_H_
#define COWSLIPMAST_SRC_SCHED_CELL_LOAD_H_

#include <cstdint>
#include <map>

#include "src/sched/state.h"

namespace cowslipmast::sched {

/** Load of this cell. The changes that moves could make to the room on workers,
 * by index, are for other owners; see `ChangesByMoves`. */
CellLoad MeasureLoad(const State& state,
                     TimePoint now,
                     const std::map<int32_t, Resources>& changes_by_moves = {});

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHED_CELL_LOAD_H_
