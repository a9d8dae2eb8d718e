#ifndef COWSLIPMAST_SRC_CLI_LOG_RESULTS_H_
#define COWSLIPMAST_SRC_CLI_LOG_RESULTS_H_

#include <memory>
#include <string>

#include "src/cli/command.h"
#include "src/cli/control_log.h"

namespace cowslipmast {

/** Opens the log of a command; its deadline is `--timeout` from now. */
std::unique_ptr<ControlLog> OpenControlLog(const CommandContext& context);

/** The log could not be read, and nothing was sent. */
CommandResult MakeUnavailable(const NetError& reason);

/** A change was sent and its outcome cannot be known in time. */
CommandResult MakeUnknownOutcome(const std::string& change,
                                 const std::string& resolve_hint,
                                 const NetError& reason);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_CLI_LOG_RESULTS_H_
