#include "src/cli/exit_code.h"

namespace cowslipmast {

std::string_view ExitCodeName(ExitCode code) {
  switch (code) {
    case ExitCode::kOk:
      return "ok";
    case ExitCode::kInvalidInput:
      return "invalid_input";
    case ExitCode::kConflict:
      return "conflict";
    case ExitCode::kUnavailable:
      return "unavailable";
    case ExitCode::kUnknownOutcome:
      return "unknown";
    case ExitCode::kNotFound:
      return "not_found";
    case ExitCode::kUsage:
      return "usage";
  }
  return "unknown";
}

}  // namespace cowslipmast
