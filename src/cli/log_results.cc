#include "src/cli/log_results.h"

namespace cowslipmast {

namespace {

std::string Describe(const NetError& reason) {
  std::string text(NetErrorName(reason.kind));
  if (!reason.detail.empty())
    text += ": " + reason.detail;
  return text;
}

}  // namespace

std::unique_ptr<ControlLog> OpenControlLog(const CommandContext& context) {
  return ControlLog::Make(context.http, *context.options.store,
                          ControlLog::Clock::now() + context.options.timeout);
}

CommandResult MakeUnavailable(const NetError& reason) {
  CommandResult result = MakeResult(
      ExitCode::kUnavailable, "the store could not be read (" +
                                  Describe(reason) + "); nothing was changed");
  result.data["error"] = NetErrorName(reason.kind);
  return result;
}

CommandResult MakeUnknownOutcome(const std::string& change,
                                 const std::string& resolve_hint,
                                 const NetError& reason) {
  CommandResult result = MakeResult(
      ExitCode::kUnknownOutcome, "it is not known whether " + change +
                                     " took effect, and it may still do so (" +
                                     Describe(reason) + "). " + resolve_hint);
  result.data["error"] = NetErrorName(reason.kind);
  return result;
}

}  // namespace cowslipmast
