#ifndef COWSLIPMAST_SRC_SCHED_MISSES_H_
#define COWSLIPMAST_SRC_SCHED_MISSES_H_

#include <vector>

#include "src/sched/state.h"

namespace cowslipmast::sched {

/** Steps that found no place in one plan. */
class Misses {
 public:
  void Add(const State& state, const ReadyKey& key, TimePoint now);
  /** True if a step that needs no more, of the same kind and free to go
   * wherever this one may, found no place. */
  bool Cover(const State& state, const ReadyKey& key, TimePoint now) const;

 private:
  struct Kind {
    ServiceId service;
    Resources need;
    ImageIndex image = 0;  // of filling steps
    bool fills = false;
    bool bound = false;    // may go to some workers only
    bool overdue = false;  // goes to doubtful workers as well
  };
  static Kind KindOf(const State& state, const ReadyKey& key, TimePoint now);

  std::vector<Kind> m_kinds;
};

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHED_MISSES_H_
