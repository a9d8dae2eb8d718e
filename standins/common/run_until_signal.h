#ifndef COWSLIPMAST_STANDINS_COMMON_RUN_UNTIL_SIGNAL_H_
#define COWSLIPMAST_STANDINS_COMMON_RUN_UNTIL_SIGNAL_H_

#include "cowslipmast/vm.h"
#include "src/net/asio.h"
#include "standins/common/fault_injection_server.h"

namespace cowslipmast::standins {

/** Runs the loop until SIGTERM or SIGINT. */
void RunUntilSignal(asio::io_context& io);

/** Serves one port until SIGTERM or SIGINT and returns the exit code. */
int ServeUntilSignal(asio::io_context& io,
                     const Endpoint& endpoint,
                     FaultInjectionHandler handler);

}  // namespace cowslipmast::standins

#endif  // COWSLIPMAST_STANDINS_COMMON_RUN_UNTIL_SIGNAL_H_
