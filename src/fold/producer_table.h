#ifndef COWSLIPMAST_SRC_FOLD_PRODUCER_TABLE_H_
#define COWSLIPMAST_SRC_FOLD_PRODUCER_TABLE_H_

#include <cstdint>
#include <map>

#include "cowslipmast/ids.h"

namespace cowslipmast {

/** Entries after a producer's last batch until the producer is forgotten. */
inline constexpr uint64_t kProducerMemoryEntries = 10'000;

/** Highest batch sequence of each producer, to recognise repeated batches. */
class ProducerTable {
 public:
  struct Latest {
    BatchSequence sequence;
    LogOffset last_offset;  // of any batch, repeated ones included
  };

  /** Notes the batch at `offset`; false if it was folded before. */
  bool Accept(const ProducerId& producer,
              BatchSequence sequence,
              LogOffset offset);
  /** Drops the producers that are forgotten at `offset`. */
  void Forget(LogOffset offset);
  void Restore(const ProducerId& producer, const Latest& latest);
  const std::map<ProducerId, Latest>& entries() const { return m_latest; }

 private:
  std::map<ProducerId, Latest> m_latest;
  std::map<LogOffset, ProducerId> m_by_offset;
};

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_FOLD_PRODUCER_TABLE_H_
