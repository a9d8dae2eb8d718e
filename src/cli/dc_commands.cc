#include <utility>

#include "src/cli/command.h"
#include "src/cli/log_results.h"
#include "src/cli/publish.h"

namespace cowslipmast {

namespace {

std::string AvailabilityName(DataCentreAvailability availability) {
  return availability == DataCentreAvailability::kInService ? "in" : "out";
}

CommandResult MakeSuccess(const DataCentreId& id,
                          DataCentreAvailability wanted,
                          ConfigVersion version,
                          bool changed) {
  CommandResult result = MakeResult(
      ExitCode::kOk,
      "data centre " + id.value() + " is " + AvailabilityName(wanted) +
          (changed ? ", published as version " : " already, in version ") +
          std::to_string(version.value()));
  result.data["data_centre"] = id.value();
  result.data["state"] = AvailabilityName(wanted);
  result.data["version"] = version.value();
  result.data["changed"] = changed;
  return result;
}

// Returns a result if there is nothing to do: the data centre does not exist,
// or it already has the wanted availability, for example because another
// operator made the same change.
std::optional<CommandResult> FindCompletedResult(
    const ControlState& state,
    const DataCentreId& id,
    DataCentreAvailability wanted) {
  const auto found = state.config.data_centres.find(id);
  if (found == state.config.data_centres.end())
    return MakeResult(ExitCode::kNotFound,
                      "the configuration has no data centre " + id.value());
  if (found->second.availability == wanted)
    return MakeSuccess(id, wanted, state.config_version, false);
  return std::nullopt;
}

CommandResult MakeFailed(PublishOutcome outcome,
                         const DataCentreId& id,
                         const NetError& reason) {
  switch (outcome) {
    case PublishOutcome::kUnknown:
      return MakeUnknownOutcome(
          "the change of data centre " + id.value(),
          "Run the same command again: it changes nothing if the data centre "
          "already has this state.",
          reason);
    case PublishOutcome::kRefused:
      return MakeResult(ExitCode::kInvalidInput,
                        "the change was read back from the log and rejected as "
                        "invalid");
    case PublishOutcome::kConflict:
      return MakeResult(ExitCode::kConflict,
                        "another operator's publish came before each attempt; "
                        "nothing was changed");
    default:
      return MakeUnavailable(reason);
  }
}

// Edits the current text and publishes it; retries after each conflict.
CommandCoroutine SetAvailability(CommandContext context,
                                 DataCentreId id,
                                 DataCentreAvailability wanted) {
  const auto log = OpenControlLog(context);
  NetError reason;
  const bool caught_up = co_await log->CatchUp(reason);
  if (!caught_up)
    co_return MakeUnavailable(reason);
  PublishOutcome outcome = PublishOutcome::kConflict;
  // Publish reads the log to its end, so the state is current on each retry.
  while (outcome == PublishOutcome::kConflict && !log->DeadlinePassed()) {
    const ControlState& state = log->state();
    if (auto completed = FindCompletedResult(state, id, wanted))
      co_return *completed;
    ConfigError edit_error;
    auto text = EditAvailability(state.config_text, id, wanted, edit_error);
    if (!text)
      co_return MakeResult(
          ExitCode::kInvalidInput,
          "the configuration text cannot be edited: " + edit_error.found);
    const ConfigVersion base = state.config_version;
    ConfigPublished record{base, std::move(*text), context.options.author};
    outcome = co_await Publish(*log, std::move(record), reason);
    if (outcome == PublishOutcome::kAccepted)
      co_return MakeSuccess(id, wanted, base.Next(), true);
  }
  co_return MakeFailed(outcome, id, reason);
}

}  // namespace

CommandCoroutine DcDrain(CommandContext context, PositionalArgs args) {
  return SetAvailability(std::move(context), DataCentreId(args[0]),
                         DataCentreAvailability::kOutOfService);
}

CommandCoroutine DcReturn(CommandContext context, PositionalArgs args) {
  return SetAvailability(std::move(context), DataCentreId(args[0]),
                         DataCentreAvailability::kInService);
}

}  // namespace cowslipmast
