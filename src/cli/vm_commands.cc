#include <functional>
#include <utility>

#include "src/cli/command.h"
#include "src/cli/log_results.h"

namespace cowslipmast {

namespace {

std::string StateName(VmServiceState state) {
  switch (state) {
    case VmServiceState::kInService:
      return "in service";
    case VmServiceState::kDraining:
      return "draining";
    case VmServiceState::kQuarantined:
      break;
  }
  return "quarantined";
}

VmServiceState StateOf(const ControlState& state, const VmId& vm) {
  const auto found = state.vm_states.find(vm);
  return found == state.vm_states.end() ? VmServiceState::kInService
                                        : found->second.state;
}

CommandResult MakeDone(const VmId& vm, VmServiceState state, bool changed) {
  CommandResult result =
      MakeResult(ExitCode::kOk, "VM " + vm.value() + " is " + StateName(state) +
                                    (changed ? "" : " already"));
  result.data["vm"] = vm.value();
  result.data["state"] = StateName(state);
  result.data["changed"] = changed;
  return result;
}

std::string CauseText(const CliOptions& options) {
  std::string cause = "operator " + options.author;
  if (!options.cause.empty())
    cause += ": " + options.cause;
  return cause;
}

CommandTask SetVmState(CommandContext context, VmId vm, VmServiceState wanted) {
  const auto log = OpenControlLog(context);
  NetError reason;
  const bool caught_up = co_await log->CatchUp(reason);
  if (!caught_up)
    co_return MakeUnavailable(reason);
  if (StateOf(log->state(), vm) == wanted)
    co_return MakeDone(vm, wanted, false);
  VmStateSet record{vm, wanted, CauseText(context.options)};
  // A later record of another operator does not make this one void.
  const std::function<bool(const ControlState&)> is_void =
      [](const ControlState&) { return false; };
  const AppendOutcome outcome =
      co_await log->Append(std::move(record), is_void, reason);
  if (outcome == AppendOutcome::kReadBack)
    co_return MakeDone(vm, wanted, true);
  if (outcome == AppendOutcome::kUnknown)
    co_return MakeUnknownOutcome("the change of VM " + vm.value(),
                                 "Run the same command again: it does nothing "
                                 "if the state is already so.",
                                 reason);
  co_return MakeUnavailable(reason);
}

}  // namespace

CommandTask VmDrain(CommandContext context, Words words) {
  return SetVmState(std::move(context), VmId(words[0]),
                    VmServiceState::kDraining);
}

CommandTask VmQuarantine(CommandContext context, Words words) {
  return SetVmState(std::move(context), VmId(words[0]),
                    VmServiceState::kQuarantined);
}

CommandTask VmRepair(CommandContext context, Words words) {
  return SetVmState(std::move(context), VmId(words[0]),
                    VmServiceState::kInService);
}

}  // namespace cowslipmast
