#include "src/fold/producer_table.h"

namespace cowslipmast {

bool ProducerTable::Accept(const ProducerId& producer,
                           BatchSequence sequence,
                           LogOffset offset) {
  const auto [it, added] = m_latest.try_emplace(producer);
  Latest& latest = it->second;
  if (!added)
    m_by_offset.erase(latest.last_offset);
  latest.last_offset = offset;
  m_by_offset[offset] = producer;
  if (!added && sequence <= latest.sequence)
    return false;
  latest.sequence = sequence;
  return true;
}

void ProducerTable::Forget(LogOffset offset) {
  while (!m_by_offset.empty()) {
    const auto oldest = m_by_offset.begin();
    if (offset.value() - oldest->first.value() <= kProducerMemoryEntries)
      return;
    m_latest.erase(oldest->second);
    m_by_offset.erase(oldest);
  }
}

void ProducerTable::Restore(const ProducerId& producer, const Latest& latest) {
  m_latest[producer] = latest;
  m_by_offset[latest.last_offset] = producer;
}

}  // namespace cowslipmast
