#define XXH_INLINE_ALL
#include "cowslipmast/sched/cell.h"

#include <xxhash.h>

#include <algorithm>
#include <string_view>

namespace cowslipmast::sched {

namespace {

uint64_t Hash(std::string_view text) {
  return XXH64(text.data(), text.size(), 0);
}

bool IsDigit(char c) {
  return c >= '0' && c <= '9';
}

// Digits of an ordinal; more would not fit 64 bits.
constexpr size_t kMaxOrdinalDigits = 18;

}  // namespace

uint32_t ChooseCellCount(size_t workers, size_t workers_per_cell) {
  const size_t cells = (workers + workers_per_cell - 1) / workers_per_cell;
  return static_cast<uint32_t>(std::max<size_t>(1, cells));
}

CellId CellOfJob(const CellLayout& layout, const JobId& id) {
  return CellId(Hash(id.value()) % std::max<uint32_t>(1, layout.cells));
}

CellId CellOfRack(const CellLayout& layout, const RackId& rack) {
  const std::string_view name = rack.value();
  size_t prefix = name.size();
  while (prefix > 0 && name.size() - prefix < kMaxOrdinalDigits &&
         IsDigit(name[prefix - 1]))
    --prefix;
  uint64_t ordinal = 0;
  for (const char digit : name.substr(prefix))
    ordinal = ordinal * 10 + static_cast<uint64_t>(digit - '0');
  const uint64_t cells = std::max<uint32_t>(1, layout.cells);
  return CellId((Hash(name.substr(0, prefix)) % cells + ordinal % cells) %
                cells);
}

CellId CellOfWorker(const CellLayout& layout, const WorkerInfo& info) {
  return CellOfRack(layout,
                    info.rack.empty() ? RackId(info.id.value()) : info.rack);
}

}  // namespace cowslipmast::sched
