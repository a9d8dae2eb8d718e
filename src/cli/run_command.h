#ifndef COWSLIPMAST_SRC_CLI_RUN_COMMAND_H_
#define COWSLIPMAST_SRC_CLI_RUN_COMMAND_H_

#include "src/cli/command.h"

namespace cowslipmast {

/** Runs the command that `words` name; `http` must outlive the call. */
CommandTask RunCommand(HttpClient& http, Words words, CliOptions options);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_CLI_RUN_COMMAND_H_
