#ifndef COWSLIPMAST_TESTS_SCHED_CRASH_LOG_H_
#define COWSLIPMAST_TESTS_SCHED_CRASH_LOG_H_

#include <string>

#include "tests/sched/simulated_cell.h"

namespace cowslipmast::sched {

/** More would be started beyond what the platform tolerates: three times after
 * three workers have crashed. */
inline constexpr int kMaxCrashesOfTask = 5;

/** The decisions of a cell's owners about ended workers. */
struct CrashLog {
  int proven = 0;
  int unproven = 0;
  uint32_t last_total = 0;  // `crashes=` of the last decision
  /** The start of a run has been planned since the last call. */
  bool has_plan = false;
  std::string lines;
};

/** To be called before the owner is replaced. */
void ReadDecisions(SimulatedCell& cell, CrashLog& log);

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_TESTS_SCHED_CRASH_LOG_H_
