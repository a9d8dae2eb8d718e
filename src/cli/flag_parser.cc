#include "src/cli/flag_parser.h"

#include <algorithm>
#include <optional>
#include <string_view>

#include "absl/flags/commandlineflag.h"
#include "absl/flags/reflection.h"
#include "absl/strings/ascii.h"
#include "src/cli/command_table.h"
#include "src/core/strings.h"

namespace cowslipmast {

namespace {

constexpr std::string_view kEnvironmentPrefix = "COWSLIPMAST_";

bool Contains(std::span<const FlagHelp> flags, std::string_view name) {
  return std::any_of(flags.begin(), flags.end(),
                     [&](const FlagHelp& flag) { return flag.name == name; });
}

bool IsCliFlag(std::string_view name) {
  if (Contains(GlobalFlags(), name))
    return true;
  const auto commands = AllCommands();
  return std::any_of(commands.begin(), commands.end(),
                     [&](const CommandSpec& command) {
                       return Contains(command.flags, name);
                     });
}

bool SetFlag(absl::CommandLineFlag& flag,
             const std::string& shown_name,
             std::string_view value,
             UsageError& reason) {
  std::string error;
  if (flag.ParseFrom(ToAbsl(value), &error))
    return true;
  reason = {shown_name, error};
  return false;
}

// Sets the flag at argv[index]. Advances `index` if the value is the next
// argument.
bool ParseFlag(int argc,
               const char* const* argv,
               int& index,
               ParsedArguments& arguments,
               UsageError& reason) {
  const std::string_view argument = argv[index];
  const size_t equals = argument.find('=');
  const std::string_view shown = argument.substr(0, equals);
  const std::string_view name = shown.substr(2);
  absl::CommandLineFlag* flag =
      IsCliFlag(name) ? absl::FindCommandLineFlag(ToAbsl(name)) : nullptr;
  if (!flag) {
    reason = {std::string(shown), "a known flag"};
    return false;
  }
  std::optional<std::string_view> value;
  if (equals != std::string_view::npos)
    value = argument.substr(equals + 1);
  else if (flag->IsOfType<bool>())
    value = "true";
  else if (index + 1 < argc)
    value = argv[++index];
  if (!value) {
    reason = {std::string(shown), "a value"};
    return false;
  }
  arguments.given_flags.emplace(name);
  return SetFlag(*flag, std::string(shown), *value, reason);
}

}  // namespace

bool ParseArguments(int argc,
                    const char* const* argv,
                    ParsedArguments& arguments,
                    UsageError& reason) {
  bool flags_ended = false;
  for (int index = 1; index < argc; ++index) {
    const std::string_view argument = argv[index];
    if (flags_ended || argument.substr(0, 1) != "-" || argument == "-") {
      arguments.positional.emplace_back(argument);
    } else if (argument == "--") {
      flags_ended = true;
    } else if (argument == "--help" || argument == "-h") {
      arguments.help = true;
    } else if (argument.substr(0, 2) != "--") {
      reason = {std::string(argument), "a flag that begins with --"};
      return false;
    } else if (!ParseFlag(argc, argv, index, arguments, reason)) {
      return false;
    }
  }
  return true;
}

bool ApplyCliEnvironment(const char* const* environment, UsageError& reason) {
  for (; *environment; ++environment) {
    const std::string_view entry = *environment;
    const size_t equals = entry.find('=');
    if (entry.substr(0, kEnvironmentPrefix.size()) != kEnvironmentPrefix ||
        equals == std::string_view::npos)
      continue;
    const std::string variable(entry.substr(0, equals));
    const std::string name =
        absl::AsciiStrToLower(variable.substr(kEnvironmentPrefix.size()));
    absl::CommandLineFlag* flag = Contains(GlobalFlags(), name)
                                      ? absl::FindCommandLineFlag(name)
                                      : nullptr;
    if (flag && !SetFlag(*flag, variable, entry.substr(equals + 1), reason))
      return false;
  }
  return true;
}

}  // namespace cowslipmast
