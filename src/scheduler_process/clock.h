#ifndef COWSLIPMAST_SRC_SCHEDULER_PROCESS_CLOCK_H_
#define COWSLIPMAST_SRC_SCHEDULER_PROCESS_CLOCK_H_

#include <time.h>

#include <chrono>

#include "cowslipmast/units.h"
#include "src/net/asio.h"

namespace cowslipmast::sched {

/** Omits the time for which the VM was suspended. */
inline TimePoint MonotonicNow() {
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

/** Time since boot, including the time for which the VM was suspended: the age
 * of a permission must count it. Costs a system call on some platforms. */
inline TimePoint BootTimeNow() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(now.tv_sec) +
      std::chrono::nanoseconds(now.tv_nsec)));
}

inline WallTime WallNow() {
  return WallTime(std::chrono::duration_cast<Duration>(
      std::chrono::system_clock::now().time_since_epoch()));
}

/** The duration in whole milliseconds, for logs and messages. */
inline int64_t ToMillis(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

/** Suspends the calling coroutine for the duration, on its own executor. */
inline asio::awaitable<void> Sleep(Duration duration) {
  asio::steady_timer timer(co_await asio::this_coro::executor, duration);
  boost::system::error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHEDULER_PROCESS_CLOCK_H_
