#ifndef COWSLIPMAST_SRC_SCHED_MISSES_H_
#define COWSLIPMAST_SRC_SCHED_MISSES_H_

#include <vector>

#include "src/sched/state.h"

namespace cowslipmast::sched {

/** Steps that found no place in one plan. */
class Misses {
 public:
  void Add(const State& state, const ReadyKey& key);
  /** True if a step that needs no more, of the same kind and free to go
   * anywhere, found no place. */
  bool Cover(const State& state, const ReadyKey& key) const;

 private:
  struct Kind {
    ServiceId service;
    Resources need;
    ImageIndex image = 0;  // of filling steps
    bool fills = false;
    bool bound = false;  // may go to some workers only
  };
  static Kind KindOf(const State& state, const ReadyKey& key);

  std::vector<Kind> m_kinds;
};

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHED_MISSES_H_
