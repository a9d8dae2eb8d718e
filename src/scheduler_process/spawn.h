#ifndef COWSLIPMAST_SRC_SCHEDULER_PROCESS_SPAWN_H_
#define COWSLIPMAST_SRC_SCHEDULER_PROCESS_SPAWN_H_

#include <functional>
#include <string_view>

#include "src/net/asio.h"

namespace cowslipmast::sched {

/** Runs a coroutine in the background. An exception that escapes it is logged
 * under `name` and passed to `on_failure`; it does not end the process. */
void Spawn(asio::io_context& io,
           std::string_view name,
           asio::awaitable<void> task,
           std::function<void()> on_failure = nullptr);

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHEDULER_PROCESS_SPAWN_H_
