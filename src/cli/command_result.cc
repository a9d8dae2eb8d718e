#include "src/cli/command_result.h"

namespace cowslipmast {

CommandResult MakeResult(ExitCode code, const std::string& line) {
  CommandResult result;
  result.code = code;
  result.text = line + "\n";
  return result;
}

std::string Render(const CommandResult& result, OutputFormat format) {
  if (format == OutputFormat::kText)
    return result.text;
  nlohmann::json object = result.data;
  object["result"] = ExitCodeName(result.code);
  object["exit_code"] = static_cast<int>(result.code);
  if (result.code != ExitCode::kOk)
    object["message"] = result.text;
  // Texts from operators and servers may contain bytes that are not UTF-8.
  return object.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) +
         "\n";
}

}  // namespace cowslipmast
