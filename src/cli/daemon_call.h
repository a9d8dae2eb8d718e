#ifndef COWSLIPMAST_SRC_CLI_DAEMON_CALL_H_
#define COWSLIPMAST_SRC_CLI_DAEMON_CALL_H_

#include <string>

#include "src/cli/command.h"
#include "src/net/http_message.h"

namespace cowslipmast {

/** Calls a daemon's admin port and gives the answer as a result. A request
 * whose reply is lost is sent again until the timeout, so only requests that
 * may run twice are sent this way. `change` names what a request with an
 * effect does, for the message of exit code 4; it is empty for reads. */
CommandCoroutine CallDaemon(CommandContext context,
                            HttpRequest request,
                            std::string change);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_CLI_DAEMON_CALL_H_
