#ifndef COWSLIPMAST_SRC_SCHED_CELL_LOAD_H_
#define COWSLIPMAST_SRC_SCHED_CELL_LOAD_H_

#include "src/sched/state.h"

namespace cowslipmast::sched {

/** Load of this cell as other owners are told. */
CellLoad MeasureLoad(const State& state, TimePoint now);

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHED_CELL_LOAD_H_
