#ifndef COWSLIPMAST_TOOLS_LOAD_COROUTINE_GROUP_H_
#define COWSLIPMAST_TOOLS_LOAD_COROUTINE_GROUP_H_

#include <cstddef>

#include "src/net/asio.h"

namespace cowslipmast::load {

/** Runs coroutines concurrently on one thread. Must outlive them. */
class CoroutineGroup {
 public:
  explicit CoroutineGroup(asio::io_context& io);

  void Spawn(asio::awaitable<void> task);
  /** Returns once all coroutines have ended. Only one call may wait at a time.
   */
  asio::awaitable<void> Wait();
  size_t running() const { return m_running; }

 private:
  asio::awaitable<void> Run(asio::awaitable<void> task);

  asio::io_context& m_io;
  asio::steady_timer m_ended;
  size_t m_running = 0;
};

}  // namespace cowslipmast::load

#endif  // COWSLIPMAST_TOOLS_LOAD_COROUTINE_GROUP_H_
