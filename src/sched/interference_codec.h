#ifndef COWSLIPMAST_SRC_SCHED_INTERFERENCE_CODEC_H_
#define COWSLIPMAST_SRC_SCHED_INTERFERENCE_CODEC_H_

#include <string>
#include <string_view>

#include "src/sched/state.h"

namespace cowslipmast::sched {

/** Key of the stored interference model. Keys of progress records contain a
 * dot, so that they cannot collide with it. */
inline constexpr std::string_view kInterferenceKey = "pressures";

/** Encodes the model of the images that unfinished jobs use. Without it the
 * next owner would learn it again from some seconds of tasks over their
 * targets. Leaves images out of a record that the store would refuse for its
 * size; `left_out`, if not null, counts them. */
std::string EncodeInterference(const State& state, size_t* left_out = nullptr);

/** Restores a stored model. Returns false, and changes nothing, if the bytes
 * cannot be read. */
bool ApplyInterference(State& state, std::string_view bytes);

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHED_INTERFERENCE_CODEC_H_
