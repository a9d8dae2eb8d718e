#ifndef COWSLIPMAST_SRC_NET_DESCRIPTORS_H_
#define COWSLIPMAST_SRC_NET_DESCRIPTORS_H_

#include <cstddef>

namespace cowslipmast {

/** The given fraction of the descriptors that this process may open, 1 at
 * least; `SIZE_MAX` if they have no limit. */
size_t PartOfDescriptors(size_t divisor);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_NET_DESCRIPTORS_H_
