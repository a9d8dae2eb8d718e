#ifndef COWSLIPMAST_SRC_SCHED_SHARED_INTERFERENCE_H_
#define COWSLIPMAST_SRC_SCHED_SHARED_INTERFERENCE_H_

#include <string>
#include <string_view>
#include <vector>

#include "src/sched/interference_model.h"

namespace cowslipmast::sched {

/** Encodes what this cell has learned itself, about 9 kB for 16 by 30 images.
 */
std::string EncodeOwnEstimates(const InterferenceModel& model);

/** Replaces what is known from other cells by their encoded estimates. Each
 * cell sees only some of the pairs of images, and images have new names each
 * day: together the cells learn as fast as one for all workers. Returns the
 * number of encodings that could not be read. */
size_t SetPeerEstimates(InterferenceModel& model,
                        const std::vector<std::string>& encoded);

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHED_SHARED_INTERFERENCE_H_
