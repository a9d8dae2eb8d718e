#include "tools/load/coroutine_group.h"

#include <utility>

namespace cowslipmast::load {

CoroutineGroup::CoroutineGroup(asio::io_context& io) : m_io(io), m_ended(io) {}

void CoroutineGroup::Spawn(asio::awaitable<void> task) {
  ++m_running;
  asio::co_spawn(m_io, Run(std::move(task)), asio::detached);
}

asio::awaitable<void> CoroutineGroup::Run(asio::awaitable<void> task) {
  co_await std::move(task);
  --m_running;
  if (m_running == 0)
    m_ended.cancel();
}

asio::awaitable<void> CoroutineGroup::Wait() {
  while (m_running > 0) {
    m_ended.expires_at(asio::steady_timer::time_point::max());
    boost::system::error_code ignored;
    co_await m_ended.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
  }
}

}  // namespace cowslipmast::load
