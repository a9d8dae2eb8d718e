#include "src/sched/admission.h"

#include <chrono>

namespace cowslipmast::sched {

namespace {

// Half of the 3 s that callers wait: a record behind such an append has to wait
// for its end and then as long again.
constexpr Duration kStalledAppend = std::chrono::milliseconds(1500);
// After a failed append the next one is most likely to time out as well.
constexpr Duration kPauseAfterFailure = std::chrono::milliseconds(700);

}  // namespace

bool IsStoreStalled(const StoreCondition& condition) {
  return condition.longest_append > kStalledAppend ||
         (condition.failed_ago && *condition.failed_ago <= kPauseAfterFailure);
}

}  // namespace cowslipmast::sched
