#ifndef COWSLIPMAST_STANDINS_COMMON_CLOCK_H_
#define COWSLIPMAST_STANDINS_COMMON_CLOCK_H_

#include <chrono>

#include "cowslipmast/units.h"

namespace cowslipmast::standins {

inline TimePoint MonotonicNow() {
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

inline WallTime WallNow() {
  return WallTime(std::chrono::duration_cast<Duration>(
      std::chrono::system_clock::now().time_since_epoch()));
}

}  // namespace cowslipmast::standins

#endif  // COWSLIPMAST_STANDINS_COMMON_CLOCK_H_
