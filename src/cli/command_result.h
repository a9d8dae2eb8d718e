#ifndef COWSLIPMAST_SRC_CLI_COMMAND_RESULT_H_
#define COWSLIPMAST_SRC_CLI_COMMAND_RESULT_H_

#include <nlohmann/json.hpp>
#include <string>

#include "src/cli/cli_options.h"
#include "src/cli/exit_code.h"

namespace cowslipmast {

/** Output of a command and exit code of the tool. */
struct CommandResult {
  ExitCode code = ExitCode::kOk;
  std::string text;  // for --output=text; ends with a line break
  nlohmann::json data = nlohmann::json::object();  // for --output=json
};

/** Makes a result whose text is one line. */
CommandResult MakeResult(ExitCode code, const std::string& line);

/** Returns the output of the tool. The JSON object has `result` and `exit_code`
 * besides the data, and `message` if the command failed. */
std::string Render(const CommandResult& result, OutputFormat format);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_CLI_COMMAND_RESULT_H_
