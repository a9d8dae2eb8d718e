#ifndef COWSLIPMAST_SRC_CLI_DAEMON_CALL_H_
#define COWSLIPMAST_SRC_CLI_DAEMON_CALL_H_

#include <string>

#include "src/cli/command.h"
#include "src/net/http_message.h"

namespace cowslipmast {

/** Sends a request to the admin port of a daemon and returns the response as a
 * result. The request must be idempotent: it is sent again until the timeout if
 * the reply is lost. `change` describes the effect of the request for the
 * message of exit code 4; empty for reads. */
CommandCoroutine CallDaemon(CommandContext context,
                            HttpRequest request,
                            std::string change);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_CLI_DAEMON_CALL_H_
