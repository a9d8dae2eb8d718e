#include "src/scheduler_process/spawn.h"

#include <exception>
#include <string>
#include <utility>

#include "src/scheduler_process/event_log.h"

namespace cowslipmast::sched {

void Spawn(asio::io_context& io,
           std::string_view name,
           asio::awaitable<void> task,
           std::function<void()> on_failure) {
  asio::co_spawn(io, std::move(task),
                 [name = std::string(name), on_failure = std::move(on_failure)](
                     const std::exception_ptr& error) {
                   if (!error)
                     return;
                   try {
                     std::rethrow_exception(error);
                   } catch (const std::exception& exception) {
                     LogEvent("background_task_failed",
                              {{"task", name}, {"detail", exception.what()}});
                   }
                   if (on_failure)
                     on_failure();
                 });
}

}  // namespace cowslipmast::sched
