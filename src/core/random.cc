#include "src/core/random.h"

namespace cowslipmast {

size_t RandomBelow(Random& random, size_t bound) {
  return std::uniform_int_distribution<size_t>(0, bound - 1)(random);
}

ProducerId MakeProducerId(Random& random) {
  const uint64_t high = random();
  const uint64_t low = random();
  return ProducerId{high, low};
}

}  // namespace cowslipmast
