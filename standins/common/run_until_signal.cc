#include "standins/common/run_until_signal.h"

#include <boost/asio/signal_set.hpp>
#include <iostream>
#include <utility>

namespace cowslipmast::standins {

void RunUntilSignal(asio::io_context& io) {
  asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait(
      [&io](const boost::system::error_code&, int) { io.stop(); });
  io.run();
}

int ServeUntilSignal(asio::io_context& io,
                     const Endpoint& endpoint,
                     FaultInjectionHandler handler) {
  NetError reason;
  const auto server =
      FaultInjectionServer::Make(io, endpoint, std::move(handler), reason);
  if (!server) {
    std::cerr << NetErrorName(reason.kind) << ": " << reason.detail << "\n";
    return 1;
  }
  RunUntilSignal(io);
  return 0;
}

}  // namespace cowslipmast::standins
