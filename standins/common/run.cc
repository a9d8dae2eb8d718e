#include "standins/common/run.h"

#include <boost/asio/signal_set.hpp>

namespace cowslipmast::standins {

void RunUntilSignal(asio::io_context& io) {
  asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait(
      [&io](const boost::system::error_code&, int) { io.stop(); });
  io.run();
}

}  // namespace cowslipmast::standins
