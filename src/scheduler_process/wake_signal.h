#ifndef COWSLIPMAST_SRC_SCHEDULER_PROCESS_WAKE_SIGNAL_H_
#define COWSLIPMAST_SRC_SCHEDULER_PROCESS_WAKE_SIGNAL_H_

#include <utility>

#include "cowslipmast/units.h"
#include "src/net/asio.h"

namespace cowslipmast::sched {

/** Wakes one waiting coroutine; a notification without a waiter is kept for the
 * next wait. */
class WakeSignal {
 public:
  explicit WakeSignal(asio::io_context& io) : m_timer(io) {}

  void Notify() {
    m_pending = true;
    m_timer.cancel();
  }

  /** Returns true on a notification, else false after `limit`. */
  asio::awaitable<bool> Wait(Duration limit) {
    if (!m_pending) {
      m_timer.expires_after(limit);
      boost::system::error_code ignored;
      co_await m_timer.async_wait(
          asio::redirect_error(asio::use_awaitable, ignored));
    }
    co_return std::exchange(m_pending, false);
  }

 private:
  asio::steady_timer m_timer;
  bool m_pending = false;
};

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHEDULER_PROCESS_WAKE_SIGNAL_H_
