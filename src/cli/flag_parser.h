#ifndef COWSLIPMAST_SRC_CLI_FLAG_PARSER_H_
#define COWSLIPMAST_SRC_CLI_FLAG_PARSER_H_

#include <set>
#include <string>
#include <vector>

namespace cowslipmast {

/** The argument or environment variable that is wrong, and what is expected. */
struct UsageError {
  std::string name;
  std::string expected;
};

/** What the command line holds besides the values of flags. */
struct ParsedArguments {
  std::vector<std::string> positional;  // without the name of the tool
  std::set<std::string> given_flags;    // names of flags
  bool help = false;
};

// Abseil's own parser is not used: on errors it ends the process with exit code
// 1, which stands for invalid input here. Only flags in the command table are
// accepted.

/** Sets flags from `--flag=value`, `--flag value` and `--flag`. */
bool ParseArguments(int argc,
                    const char* const* argv,
                    ParsedArguments& arguments,
                    UsageError& reason);

/** Sets global flags from COWSLIPMAST_<FLAG>. Call it before ParseArguments, so
 * that the command line takes precedence. Other variables are ignored. */
bool ApplyCliEnvironment(const char* const* environment, UsageError& reason);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_CLI_FLAG_PARSER_H_
