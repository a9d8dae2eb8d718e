#ifndef COWSLIPMAST_SRC_CORE_RANDOM_H_
#define COWSLIPMAST_SRC_CORE_RANDOM_H_

#include <cstddef>
#include <cstdint>
#include <random>

#include "cowslipmast/ids.h"

namespace cowslipmast {

/** Generator that the caller of the library seeds; the only source of chance.
 */
using Random = std::mt19937_64;

/** Returns a number below `bound`, which must be at least 1. */
size_t RandomBelow(Random& random, size_t bound);

/** Returns a producer id for a new process. */
ProducerId MakeProducerId(Random& random);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_CORE_RANDOM_H_
