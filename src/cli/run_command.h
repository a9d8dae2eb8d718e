#ifndef COWSLIPMAST_SRC_CLI_RUN_COMMAND_H_
#define COWSLIPMAST_SRC_CLI_RUN_COMMAND_H_

#include "src/cli/command.h"

namespace cowslipmast {

/** Runs the command named by the first arguments. `http` must outlive the
 * call. */
CommandCoroutine RunCommand(HttpClient& http,
                            PositionalArgs args,
                            CliOptions options);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_CLI_RUN_COMMAND_H_
