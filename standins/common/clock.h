#ifndef COWSLIPMAST_STANDINS_COMMON_CLOCK_H_
#define COWSLIPMAST_STANDINS_COMMON_CLOCK_H_

#include "src/scheduler_process/clock.h"

namespace cowslipmast::standins {

using sched::MonotonicNow;
using sched::WallNow;

}  // namespace cowslipmast::standins

#endif  // COWSLIPMAST_STANDINS_COMMON_CLOCK_H_
