#ifndef COWSLIPMAST_STANDINS_COMMON_RUN_UNTIL_SIGNAL_H_
#define COWSLIPMAST_STANDINS_COMMON_RUN_UNTIL_SIGNAL_H_

#include "cowslipmast/vm.h"
#include "src/net/asio.h"
#include "standins/common/fault_injection_server.h"

namespace cowslipmast::standins {

/** Runs the event loop until SIGTERM or SIGINT. */
void RunUntilSignal(asio::io_context& io);

/** Serves one endpoint until SIGTERM or SIGINT. Returns the exit code of the
 * process. */
int ServeUntilSignal(asio::io_context& io,
                     const Endpoint& endpoint,
                     FaultInjectionHandler handler);

}  // namespace cowslipmast::standins

#endif  // COWSLIPMAST_STANDINS_COMMON_RUN_UNTIL_SIGNAL_H_
