#ifndef COWSLIPMAST_SRC_SCHED_ADMISSION_H_
#define COWSLIPMAST_SRC_SCHED_ADMISSION_H_

#include <optional>

#include "cowslipmast/units.h"

namespace cowslipmast::sched {

/** What a process knows of the store from its own appends. */
struct StoreCondition {
  /** Age of the oldest append without a response; 0 without one. */
  Duration longest_append{0};
  /** Since the last append failed, unless a later one succeeded. */
  std::optional<Duration> failed_ago;
};

/** True if a record given to the store now would most likely wait in vain. Such
 * a record is refused before anything is sent, so that its caller may try again
 * elsewhere or later without the risk of a second run. */
bool IsStoreStalled(const StoreCondition& condition);

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHED_ADMISSION_H_
