#include <utility>

#include "src/cli/command.h"
#include "src/cli/daemon_call.h"

namespace cowslipmast {

namespace {

CommandTask ShowPath(CommandContext context, std::string path) {
  HttpRequest request;
  request.path = std::move(path);
  co_return co_await CallDaemon(std::move(context), std::move(request), "");
}

}  // namespace

CommandTask ShowStatus(CommandContext context, Words) {
  co_return co_await ShowPath(std::move(context), "/status");
}

CommandTask ShowDump(CommandContext context, Words) {
  co_return co_await ShowPath(std::move(context), "/dump");
}

}  // namespace cowslipmast
