#ifndef COWSLIPMAST_STANDINS_COMMON_RUN_H_
#define COWSLIPMAST_STANDINS_COMMON_RUN_H_

#include "src/net/asio.h"

namespace cowslipmast::standins {

/** Runs the loop until SIGTERM or SIGINT. */
void RunUntilSignal(asio::io_context& io);

}  // namespace cowslipmast::standins

#endif  // COWSLIPMAST_STANDINS_COMMON_RUN_H_
