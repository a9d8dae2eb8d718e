#ifndef COWSLIPMAST_SRC_CLI_COMMAND_TABLE_H_
#define COWSLIPMAST_SRC_CLI_COMMAND_TABLE_H_

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "src/cli/command.h"

namespace cowslipmast {

/** The process that a command connects to. */
enum class CommandPeer { kNone, kStore, kDaemon };

/** Description of a flag for --help. */
struct FlagHelp {
  std::string_view name;
  std::string_view value;  // placeholder for the value; empty for a switch
  std::string_view text;
};

struct CommandSpec {
  std::string_view name;       // one or two words
  std::string_view arguments;  // placeholders for the usage line
  std::string_view summary;
  std::string_view details;
  size_t min_args = 0;
  size_t max_args = 0;
  CommandPeer peer = CommandPeer::kNone;
  std::span<const FlagHelp> flags;  // without the global flags
  CommandCoroutine (*run)(CommandContext context,
                          PositionalArgs args) = nullptr;
};

std::span<const CommandSpec> AllCommands();
std::span<const FlagHelp> GlobalFlags();

/** Returns the command named by the first one or two arguments, or nullptr. */
const CommandSpec* FindCommand(const PositionalArgs& args);

/** Returns the number of words in the command's name. */
size_t CommandNameWords(const CommandSpec& command);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_CLI_COMMAND_TABLE_H_
