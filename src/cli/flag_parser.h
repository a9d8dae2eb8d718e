#ifndef COWSLIPMAST_SRC_CLI_FLAG_PARSER_H_
#define COWSLIPMAST_SRC_CLI_FLAG_PARSER_H_

#include <set>
#include <string>
#include <vector>

namespace cowslipmast {

/** Which argument or variable is wrong, and what would be right. */
struct UsageError {
  std::string name;
  std::string expected;
};

/** The command line after its flags were set. */
struct ParsedArguments {
  std::vector<std::string> positional;  // without the name of the tool
  std::set<std::string> given_flags;    // names of flags
  bool help = false;
};

// Abseil's own parser ends the process with exit code 1, which means a refused
// configuration here. Only flags that a command lists are accepted.

/** Sets flags from `--flag=value`, `--flag value` and `--flag`. */
bool ParseArguments(int argc,
                    const char* const* argv,
                    ParsedArguments& arguments,
                    UsageError& reason);

/** Sets global flags from COWSLIPMAST_<FLAG>; called first, so that the command
 * line wins. Variables of the daemon are ignored. */
bool ApplyCliEnvironment(const char* const* environment, UsageError& reason);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_CLI_FLAG_PARSER_H_
