#include "src/net/descriptors.h"

#include <sys/resource.h>

#include <algorithm>
#include <cstdint>

namespace cowslipmast {

size_t PartOfDescriptors(size_t divisor) {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY)
    return SIZE_MAX;
  return std::max<size_t>(1, limit.rlim_cur / divisor);
}

}  // namespace cowslipmast
