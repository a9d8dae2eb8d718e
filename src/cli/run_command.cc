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

// Returns an error message if the command line is wrong. Flags that the command
// does not use are errors: `dc drain --base=3` would ignore the base version.
std::optional<std::string> FindUsageError(const CommandSpec& command,
                                          const PositionalArgs& args,
                                          const CliOptions& options) {
  if (args.size() < command.min_args || args.size() > command.max_args)
    return "expected " + std::string(command.name) + " " +
           std::string(command.arguments);
  for (const std::string& word : args) {
    if (word.empty())
      return "an argument is empty";
  }
  for (const std::string& flag : options.given_flags) {
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

CommandCoroutine RunCommand(HttpClient& http,
                            PositionalArgs args,
                            CliOptions options) {
  const CommandSpec* command = FindCommand(args);
  if (!command)
    co_return MakeUsageError(args.empty() ? "no command"
                                          : "no command " + args[0]);
  args.erase(args.begin(),
             args.begin() + static_cast<ptrdiff_t>(CommandNameWords(*command)));
  if (const auto error = FindUsageError(*command, args, options))
    co_return MakeUsageError(*error);
  CommandContext context{http, std::move(options)};
  co_return co_await command->run(std::move(context), std::move(args));
}

}  // namespace cowslipmast
