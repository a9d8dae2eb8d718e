#ifndef COWSLIPMAST_SRC_CLI_COMMAND_H_
#define COWSLIPMAST_SRC_CLI_COMMAND_H_

#include <string>
#include <vector>

#include "src/cli/cli_options.h"
#include "src/cli/command_result.h"
#include "src/net/asio.h"
#include "src/net/http_client.h"

namespace cowslipmast {

/** What a command works with; `http` outlives the command. */
struct CommandContext {
  HttpClient& http;
  CliOptions options;
};

// Each command takes the words that follow its name. The dispatcher has checked
// their number and that --store or --daemon is given.
using Words = std::vector<std::string>;
using CommandTask = asio::awaitable<CommandResult>;

CommandTask ConfigCheck(CommandContext context, Words words);
CommandTask ConfigPublish(CommandContext context, Words words);
CommandTask ConfigShow(CommandContext context, Words words);
CommandTask ConfigHistory(CommandContext context, Words words);
CommandTask DcDrain(CommandContext context, Words words);
CommandTask DcReturn(CommandContext context, Words words);
CommandTask VmDrain(CommandContext context, Words words);
CommandTask VmQuarantine(CommandContext context, Words words);
CommandTask VmRepair(CommandContext context, Words words);
CommandTask JobSubmit(CommandContext context, Words words);
CommandTask JobStatus(CommandContext context, Words words);
CommandTask JobCancel(CommandContext context, Words words);
CommandTask ShowStatus(CommandContext context, Words words);
CommandTask ShowDump(CommandContext context, Words words);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_CLI_COMMAND_H_
