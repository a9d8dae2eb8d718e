#include "src/cli/run_command.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "src/cli/command_table.h"

namespace cowslipmast {

namespace {

bool HasFlag(std::span<const FlagHelp> flags, const std::string& name) {
  return std::any_of(flags.begin(), flags.end(),
                     [&](const FlagHelp& flag) { return flag.name == name; });
}

// Returns what is wrong with the call, if anything. A flag that a command does
// not use is refused: `dc drain --base=3` would not do what it says.
std::optional<std::string> FindUsageError(const CommandSpec& command,
                                          const Words& words,
                                          const CliOptions& options) {
  if (words.size() < command.min_words || words.size() > command.max_words)
    return "expected " + std::string(command.name) + " " +
           std::string(command.arguments);
  for (const std::string& word : words) {
    if (word.empty())
      return "an argument is empty";
  }
  for (const std::string& flag : options.given) {
    if (!HasFlag(command.flags, flag) && !HasFlag(GlobalFlags(), flag))
      return std::string(command.name) + " has no flag --" + flag;
  }
  if (command.peer == CommandPeer::kStore && !options.store)
    return "--store=IP:PORT is missing";
  if (command.peer == CommandPeer::kDaemon && !options.daemon)
    return "--daemon=IP:PORT is missing";
  return std::nullopt;
}

CommandResult MakeUsageError(const std::string& line) {
  return MakeResult(ExitCode::kUsage, line + "; see cowslipmast --help");
}

}  // namespace

CommandTask RunCommand(HttpClient& http, Words words, CliOptions options) {
  const CommandSpec* command = FindCommand(words);
  if (!command)
    co_return MakeUsageError(words.empty() ? "no command"
                                           : "no command " + words[0]);
  words.erase(words.begin(),
              words.begin() + static_cast<ptrdiff_t>(NameLength(*command)));
  if (const auto error = FindUsageError(*command, words, options))
    co_return MakeUsageError(*error);
  CommandContext context{http, std::move(options)};
  co_return co_await command->run(std::move(context), std::move(words));
}

}  // namespace cowslipmast
