#ifndef COWSLIPMAST_SRC_CLI_LOG_RESULTS_H_
#define COWSLIPMAST_SRC_CLI_LOG_RESULTS_H_

#include <memory>
#include <string>

#include "src/cli/command.h"
#include "src/cli/control_log.h"

namespace cowslipmast {

/** Opens the control log for a command; its deadline is `--timeout` from now.
 */
std::unique_ptr<ControlLog> OpenControlLog(const CommandContext& context);

/** Result for a store that could not be read; nothing was changed. */
CommandResult MakeUnavailable(const NetError& reason);

/** Result for a change that was sent and whose outcome is not known by the
 * deadline. `resolve_hint` tells the operator how to find it out. */
CommandResult MakeUnknownOutcome(const std::string& change,
                                 const std::string& resolve_hint,
                                 const NetError& reason);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_CLI_LOG_RESULTS_H_
