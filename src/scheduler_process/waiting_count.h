#ifndef COWSLIPMAST_SRC_SCHEDULER_PROCESS_WAITING_COUNT_H_
#define COWSLIPMAST_SRC_SCHEDULER_PROCESS_WAITING_COUNT_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "cowslipmast/sched/cell.h"

namespace cowslipmast::sched {

/** Jobs of the queue that wait in all cells; nothing unless the load of each
 * cell is known, since the jobs of a cell without an owner are still stored. */
std::optional<uint64_t> SumWaiting(const CellLayout& layout,
                                   const std::vector<CellLoad>& loads,
                                   const QueueId& queue);

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHEDULER_PROCESS_WAITING_COUNT_H_
