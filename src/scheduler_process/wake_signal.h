#ifndef COWSLIPMAST_SRC_SCHEDULER_PROCESS_WAKE_SIGNAL_H_
#define COWSLIPMAST_SRC_SCHEDULER_PROCESS_WAKE_SIGNAL_H_

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

  /** Returns on a notification, or after `limit` at the latest. */
  asio::awaitable<void> Wait(Duration limit) {
    if (!m_pending) {
      m_timer.expires_after(limit);
      boost::system::error_code ignored;
      co_await m_timer.async_wait(
          asio::redirect_error(asio::use_awaitable, ignored));
    }
    m_pending = false;
  }

 private:
  asio::steady_timer m_timer;
  bool m_pending = false;
};

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHEDULER_PROCESS_WAKE_SIGNAL_H_
