#ifndef COWSLIPMAST_TESTS_FOLD_FAKE_STREAM_H_
#define COWSLIPMAST_TESTS_FOLD_FAKE_STREAM_H_

#include <string>
#include <utility>
#include <vector>

#include "cowslipmast/codec.h"
#include "cowslipmast/fold.h"

namespace cowslipmast {

inline const RegionId kLuzon("luzon");
inline const ResourceId kTarget = TargetId("desk-1");
inline const ResourceId kCebu = DataCentreId("cebu");

inline ProcessId MakeProcess(const std::string& vm, int incarnation = 1) {
  return ProcessId(vm + "/entry/" + std::to_string(incarnation));
}

inline Member MakeMember(const std::string& vm, int incarnation = 1) {
  return {MakeProcess(vm, incarnation), VmId(vm), kLuzon, Role::kEntry, {}};
}

/** An in-memory log stream. */
struct FakeStream {
  std::vector<std::string> entries;
  uint64_t sequence = 0;

  void Add(std::vector<Record> records, ProducerId producer = {1, 1}) {
    entries.push_back(
        EncodeBatch({producer, BatchSequence(++sequence), std::move(records)}));
  }
  template <typename Fold>
  void FoldInto(Fold& fold) const {
    for (uint64_t i = fold.state().next.value(); i < entries.size(); ++i)
      fold.Apply(LogOffset(i), entries[i]);
  }
};

}  // namespace cowslipmast

#endif  // COWSLIPMAST_TESTS_FOLD_FAKE_STREAM_H_
