#ifndef COWSLIPMAST_SRC_CLI_COMMAND_H_
#define COWSLIPMAST_SRC_CLI_COMMAND_H_

#include <string>
#include <vector>

#include "src/cli/cli_options.h"
#include "src/cli/command_result.h"
#include "src/net/asio.h"
#include "src/net/http_client.h"

namespace cowslipmast {

/** Input of a command. `http` must outlive the command. */
struct CommandContext {
  HttpClient& http;
  CliOptions options;
};

// Each command takes the positional arguments that follow its name. RunCommand
// has checked their number, and that --store or --daemon is set if needed.
using PositionalArgs = std::vector<std::string>;
using CommandCoroutine = asio::awaitable<CommandResult>;

CommandCoroutine ConfigCheck(CommandContext context, PositionalArgs args);
CommandCoroutine ConfigPublish(CommandContext context, PositionalArgs args);
CommandCoroutine ConfigShow(CommandContext context, PositionalArgs args);
CommandCoroutine ConfigHistory(CommandContext context, PositionalArgs args);
CommandCoroutine DcDrain(CommandContext context, PositionalArgs args);
CommandCoroutine DcReturn(CommandContext context, PositionalArgs args);
CommandCoroutine VmDrain(CommandContext context, PositionalArgs args);
CommandCoroutine VmQuarantine(CommandContext context, PositionalArgs args);
CommandCoroutine VmRepair(CommandContext context, PositionalArgs args);
CommandCoroutine JobSubmit(CommandContext context, PositionalArgs args);
CommandCoroutine JobStatus(CommandContext context, PositionalArgs args);
CommandCoroutine JobCancel(CommandContext context, PositionalArgs args);
CommandCoroutine ShowStatus(CommandContext context, PositionalArgs args);
CommandCoroutine ShowDump(CommandContext context, PositionalArgs args);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_CLI_COMMAND_H_
