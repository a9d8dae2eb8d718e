#ifndef COWSLIPMAST_SRC_NET_BACKOFF_H_
#define COWSLIPMAST_SRC_NET_BACKOFF_H_

#include <algorithm>
#include <cstddef>

#include "cowslipmast/units.h"
#include "src/core/random.h"

namespace cowslipmast {

/** Exponential backoff from a minimum to a maximum, with jitter. */
class Backoff {
 public:
  Backoff(Duration min, Duration max) : m_min(min), m_max(max), m_next(min) {}

  /** Returns a random value between half of the next delay and all of it. */
  Duration Next(Random& random) {
    const Duration half = m_next / 2;
    m_next = std::min(m_next * 2, m_max);
    const auto spread = static_cast<size_t>(half.count()) + 1;
    return half + Duration(RandomBelow(random, spread));
  }
  void Reset() { m_next = m_min; }

 private:
  Duration m_min;
  Duration m_max;
  Duration m_next;
};

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_NET_BACKOFF_H_
