#include <functional>
#include <utility>

#include "src/cli/command.h"
#include "src/cli/log_results.h"

namespace cowslipmast {

namespace {

std::string VmStateName(VmServiceState state) {
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

VmServiceState VmStateOf(const ControlState& state, const VmId& vm) {
  const auto found = state.vm_states.find(vm);
  return found == state.vm_states.end() ? VmServiceState::kInService
                                        : found->second.state;
}

CommandResult MakeSuccess(const VmId& vm, VmServiceState state, bool changed) {
  CommandResult result = MakeResult(
      ExitCode::kOk, "VM " + vm.value() + " is " + VmStateName(state) +
                         (changed ? "" : " already"));
  result.data["vm"] = vm.value();
  result.data["state"] = VmStateName(state);
  result.data["changed"] = changed;
  return result;
}

std::string CauseText(const CliOptions& options) {
  std::string cause = "operator " + options.author;
  if (!options.cause.empty())
    cause += ": " + options.cause;
  return cause;
}

CommandCoroutine SetVmState(CommandContext context,
                            VmId vm,
                            VmServiceState wanted) {
  const auto log = OpenControlLog(context);
  NetError reason;
  const bool caught_up = co_await log->CatchUp(reason);
  if (!caught_up)
    co_return MakeUnavailable(reason);
  if (VmStateOf(log->state(), vm) == wanted)
    co_return MakeSuccess(vm, wanted, false);
  VmStateSet record{vm, wanted, CauseText(context.options)};
  // Unlike a publish, the record takes effect whatever other operators append.
  const std::function<bool(const ControlState&)> is_superseded =
      [](const ControlState&) { return false; };
  const AppendOutcome outcome =
      co_await log->Append(std::move(record), is_superseded, reason);
  if (outcome == AppendOutcome::kAppended)
    co_return MakeSuccess(vm, wanted, true);
  if (outcome == AppendOutcome::kUnknown)
    co_return MakeUnknownOutcome("the change of VM " + vm.value(),
                                 "Run the same command again: it changes "
                                 "nothing if the VM already has this state.",
                                 reason);
  co_return MakeUnavailable(reason);
}

}  // namespace

CommandCoroutine VmDrain(CommandContext context, PositionalArgs args) {
  return SetVmState(std::move(context), VmId(args[0]),
                    VmServiceState::kDraining);
}

CommandCoroutine VmQuarantine(CommandContext context, PositionalArgs args) {
  return SetVmState(std::move(context), VmId(args[0]),
                    VmServiceState::kQuarantined);
}

CommandCoroutine VmRepair(CommandContext context, PositionalArgs args) {
  return SetVmState(std::move(context), VmId(args[0]),
                    VmServiceState::kInService);
}

}  // namespace cowslipmast
