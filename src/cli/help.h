#ifndef COWSLIPMAST_SRC_CLI_HELP_H_
#define COWSLIPMAST_SRC_CLI_HELP_H_

#include <string>

#include "src/cli/command.h"

namespace cowslipmast {

/** Returns the text of --help for the tool, a group of commands or a command.
 */
std::string HelpText(const PositionalArgs& args);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_CLI_HELP_H_
