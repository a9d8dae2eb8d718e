#ifndef COWSLIPMAST_SRC_NET_CONNECTION_CHOICE_H_
#define COWSLIPMAST_SRC_NET_CONNECTION_CHOICE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace cowslipmast {

enum class ConnectionPhase : uint8_t {
  kIdle,       // waits for the first byte of a request
  kReading,    // a request has begun to arrive
  kAnswering,  // its response is being sent
  kHandling,   // a whole request has arrived, and its response is not ready
};

/** What one connection uses of its server. */
struct ConnectionUse {
  ConnectionPhase phase = ConnectionPhase::kIdle;
  std::chrono::steady_clock::time_point since;  // of the phase
  size_t connections_of_address = 1;            // that the peer's address has
};

/** Index of the connection that gives way to a new one when a server has as
 * many as it may; nothing if none may. A request that is being handled is not
 * cut, nor a response that was ready only just now.
 *
 * Load: a crowd opens connections and sends nothing, next to nothing, or reads
 * no responses. */
std::optional<size_t> ChooseToReplace(
    const std::vector<ConnectionUse>& uses,
    std::chrono::steady_clock::time_point now);

/** What one message that is being read or handled holds in memory. */
struct MessageUse {
  size_t bytes = 0;
  bool is_complete = false;
};

/** Index of the message that is given up when all together hold more than they
 * may: the largest incomplete one; nothing if all are complete.
 *
 * Load: many peers send large messages slowly, or never end them. */
std::optional<size_t> ChooseToShed(const std::vector<MessageUse>& uses);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_NET_CONNECTION_CHOICE_H_
