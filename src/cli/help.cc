#include "src/cli/help.h"

#include <algorithm>
#include <span>
#include <string_view>

#include "src/cli/command_table.h"

namespace cowslipmast {

namespace {

constexpr char kExitCodes[] = R"(
Exit codes:
   0  done
   1  the configuration, the job or the file is not valid
   2  another operator's change came first; nothing was changed
   3  the store or the process cannot be reached; nothing was changed
   4  the change may or may not have been made
   5  no such data centre, version or job
  64  usage error
)";

std::string Padded(std::string text, size_t width) {
  text.resize(std::max(width, text.size() + 1), ' ');
  return text;
}

std::string DescribeFlags(std::span<const FlagHelp> flags) {
  std::string text;
  for (const FlagHelp& flag : flags) {
    std::string name = "  --" + std::string(flag.name);
    if (!flag.value.empty())
      name += "=" + std::string(flag.value);
    text += Padded(name, 24) + std::string(flag.text) + "\n";
  }
  return text;
}

std::string DescribeGlobalFlags() {
  return "\nGlobal flags, each also read from COWSLIPMAST_<FLAG>:\n" +
         DescribeFlags(GlobalFlags());
}

std::string DescribeCommand(const CommandSpec& command) {
  std::string text = "Usage: cowslipmast " + std::string(command.name);
  if (!command.arguments.empty())
    text += " " + std::string(command.arguments);
  text += " [flags]\n\n" + std::string(command.summary) + ".\n";
  if (!command.details.empty())
    text += std::string(command.details) + "\n";
  if (!command.flags.empty())
    text += "\nFlags:\n" + DescribeFlags(command.flags);
  return text + DescribeGlobalFlags() + kExitCodes;
}

bool IsInGroup(const CommandSpec& command, const PositionalArgs& args) {
  return args.empty() ||
         command.name.substr(0, args[0].size() + 1) == args[0] + " ";
}

std::string ListCommands(const PositionalArgs& args) {
  std::string text;
  for (const CommandSpec& command : AllCommands()) {
    if (!IsInGroup(command, args))
      continue;
    const std::string usage =
        "  " + std::string(command.name) + " " + std::string(command.arguments);
    text += Padded(usage, 24) + std::string(command.summary) + "\n";
  }
  return text;
}

}  // namespace

std::string HelpText(const PositionalArgs& args) {
  if (const CommandSpec* command = FindCommand(args))
    return DescribeCommand(*command);
  std::string commands = ListCommands(args);
  if (commands.empty())
    commands = ListCommands({});
  return "Usage: cowslipmast COMMAND [arguments] [flags]\n\nCommands:\n" +
         commands + DescribeGlobalFlags() + kExitCodes +
         "\nRun cowslipmast COMMAND --help for the flags of a command.\n";
}

}  // namespace cowslipmast
