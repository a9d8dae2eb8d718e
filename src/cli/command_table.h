#ifndef COWSLIPMAST_SRC_CLI_COMMAND_TABLE_H_
#define COWSLIPMAST_SRC_CLI_COMMAND_TABLE_H_

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "src/cli/command.h"

namespace cowslipmast {

/** Which process a command talks to. */
enum class CommandPeer { kNone, kStore, kDaemon };

/** A flag in the texts of --help. */
struct FlagHelp {
  std::string_view name;
  std::string_view value;  // placeholder
  std::string_view text;
};

struct CommandSpec {
  std::string_view name;       // one or two words
  std::string_view arguments;  // as in the usage line
  std::string_view summary;
  std::string_view details;
  size_t min_args = 0;
  size_t max_args = 0;
  CommandPeer peer = CommandPeer::kNone;
  std::span<const FlagHelp> flags;  // besides the global ones
  CommandCoroutine (*run)(CommandContext context,
                          PositionalArgs args) = nullptr;
};

std::span<const CommandSpec> AllCommands();
std::span<const FlagHelp> GlobalFlags();

/** Returns the command that the first words name, or nullptr. */
const CommandSpec* FindCommand(const PositionalArgs& args);

/** Number of words in the command's name. */
size_t CommandNameWords(const CommandSpec& command);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_CLI_COMMAND_TABLE_H_
