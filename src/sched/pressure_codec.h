#ifndef COWSLIPMAST_SRC_SCHED_PRESSURE_CODEC_H_
#define COWSLIPMAST_SRC_SCHED_PRESSURE_CODEC_H_

#include <string>
#include <string_view>

#include "src/sched/state.h"

namespace cowslipmast::sched {

/** Key of the record of learned pressures; keys of progress contain a dot. */
inline constexpr std::string_view kPressureKey = "pressures";

/** What was learned of the images that unfinished jobs use. A later owner
 * would otherwise need some seconds of disturbed tasks to learn it again. */
std::string EncodePressures(const State& state);

/** Takes stored pressures in. False, and nothing changed, if they cannot be
 * read. */
bool ApplyPressures(State& state, std::string_view bytes);

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHED_PRESSURE_CODEC_H_
