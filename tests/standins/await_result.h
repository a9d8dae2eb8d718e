#ifndef COWSLIPMAST_TESTS_STANDINS_AWAIT_RESULT_H_
#define COWSLIPMAST_TESTS_STANDINS_AWAIT_RESULT_H_

#include <optional>
#include <utility>

#include "src/net/asio.h"

namespace cowslipmast::standins {

/** Runs the event loop until an operation has ended and returns its result. */
template <typename T>
T Await(asio::io_context& io, asio::awaitable<T> operation) {
  std::optional<T> result;
  asio::co_spawn(
      io,
      [&]() -> asio::awaitable<void> {
        result = co_await std::move(operation);
      },
      asio::detached);
  io.restart();
  while (!result)
    io.run_one();
  return std::move(*result);
}

}  // namespace cowslipmast::standins

#endif  // COWSLIPMAST_TESTS_STANDINS_AWAIT_RESULT_H_
