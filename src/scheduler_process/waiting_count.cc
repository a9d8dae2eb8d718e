#include "src/scheduler_process/waiting_count.h"

#include <set>

namespace cowslipmast::sched {

std::optional<uint64_t> SumWaiting(const CellLayout& layout,
                                   const std::vector<CellLoad>& loads,
                                   const QueueId& queue) {
  std::set<CellId> counted;
  uint64_t sum = 0;
  for (const CellLoad& load : loads) {
    if (load.cell.value() >= layout.cells || !counted.insert(load.cell).second)
      continue;
    for (const QueueWaiting& entry : load.waiting)
      sum += entry.queue == queue ? entry.jobs : 0;
  }
  if (counted.size() < layout.cells)
    return std::nullopt;
  return sum;
}

}  // namespace cowslipmast::sched
