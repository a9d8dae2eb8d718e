#ifndef COWSLIPMAST_SRC_CLI_EXIT_CODE_H_
#define COWSLIPMAST_SRC_CLI_EXIT_CODE_H_

#include <string_view>

namespace cowslipmast {

/** Exit codes of the `cowslipmast` tool; documented in docs/OPERATIONS.md. */
enum class ExitCode {
  kOk = 0,
  kInvalidInput = 1,  // the configuration or job is not valid
  kConflict = 2,      // another operator's change came first
  kUnavailable = 3,   // the store or daemon could not be reached; nothing done
  kUnknownOutcome = 4,  // the change may or may not have been made
  kNotFound = 5,
  kUsage = 64,  // EX_USAGE of sysexits.h
};

/** Returns a stable name for JSON output. */
std::string_view ExitCodeName(ExitCode code);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_CLI_EXIT_CODE_H_
