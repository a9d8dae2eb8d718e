#include <utility>

#include "src/cli/command.h"
#include "src/cli/daemon_call.h"

namespace cowslipmast {

namespace {

CommandCoroutine ShowPath(CommandContext context, std::string path) {
  HttpRequest request;
  request.path = std::move(path);
  co_return co_await CallDaemon(std::move(context), std::move(request), "");
}

}  // namespace

CommandCoroutine ShowStatus(CommandContext context, PositionalArgs) {
  co_return co_await ShowPath(std::move(context), "/status");
}

CommandCoroutine ShowDump(CommandContext context, PositionalArgs) {
  co_return co_await ShowPath(std::move(context), "/dump");
}

}  // namespace cowslipmast
