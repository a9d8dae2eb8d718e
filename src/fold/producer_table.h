#ifndef COWSLIPMAST_SRC_FOLD_PRODUCER_TABLE_H_
#define COWSLIPMAST_SRC_FOLD_PRODUCER_TABLE_H_

#include <cstdint>
#include <map>

#include "cowslipmast/ids.h"

namespace cowslipmast {

/** A producer is forgotten this many entries after its last batch. */
inline constexpr uint64_t kProducerMemoryEntries = 10'000;

/** The highest batch sequence of each producer, to detect repeated batches. */
class ProducerTable {
 public:
  struct Latest {
    BatchSequence sequence;
    LogOffset last_offset;  // of its last batch, including repeated ones
  };

  /** Records the batch at `offset`; returns false if it was folded before. */
  bool Accept(const ProducerId& producer,
              BatchSequence sequence,
              LogOffset offset);
  /** Removes producers whose last batch is too far before `offset`. */
  void Forget(LogOffset offset);
  void Restore(const ProducerId& producer, const Latest& latest);
  const std::map<ProducerId, Latest>& entries() const { return m_latest; }

 private:
  std::map<ProducerId, Latest> m_latest;
  std::map<LogOffset, ProducerId> m_by_offset;
};

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_FOLD_PRODUCER_TABLE_H_
