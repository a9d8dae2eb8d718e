#include <algorithm>
#include <utility>

#include "src/cli/command.h"
#include "src/cli/config_results.h"
#include "src/cli/log_results.h"
#include "src/cli/publish.h"
#include "src/cli/read_file.h"

namespace cowslipmast {

namespace {

using Json = nlohmann::json;

constexpr char kResolvePublishHint[] =
    "Run `config history` to check, or publish again: the same text is not "
    "published twice.";

std::string VersionText(ConfigVersion version) {
  return std::to_string(version.value());
}

// Reads and checks the file. On failure returns nothing and sets `result`.
std::optional<std::string> ReadConfigFile(const std::string& path,
                                          CommandResult& result) {
  auto text = ReadFile(path, kMaxConfigBytes);
  if (!text) {
    result =
        MakeResult(ExitCode::kInvalidInput, path + ": the file cannot be read");
    return std::nullopt;
  }
  std::vector<ConfigError> errors;
  if (!ParseConfig(*text, errors)) {
    result = MakeInvalidConfig(path, errors);
    return std::nullopt;
  }
  return text;
}

CommandResult MakePublished(ConfigVersion version,
                            ConfigVersion base,
                            const std::vector<ConfigChange>& changes) {
  CommandResult result = MakeResult(
      ExitCode::kOk, "published version " + VersionText(version) +
                         ", which replaces version " + VersionText(base));
  result.text += DescribeChanges(changes);
  result.data["version"] = version.value();
  result.data["base"] = base.value();
  result.data["changes"] = ChangesToJson(changes);
  return result;
}

CommandResult MakeAlreadyCurrent(ConfigVersion version) {
  CommandResult result =
      MakeResult(ExitCode::kOk, "version " + VersionText(version) +
                                    " already has this text; nothing to do");
  result.data["version"] = version.value();
  result.data["changes"] = Json::array();
  return result;
}

CommandResult MakePublishResult(PublishOutcome outcome,
                                const ControlLog& log,
                                const ConfigPublished& record,
                                const std::vector<ConfigChange>& changes,
                                const NetError& reason) {
  switch (outcome) {
    case PublishOutcome::kAccepted:
      return MakePublished(record.base_version.Next(), record.base_version,
                           changes);
    case PublishOutcome::kConflict:
      return MakeConflict(log, record.base_version, record.text);
    case PublishOutcome::kRefused:
      return MakeResult(ExitCode::kInvalidInput,
                        "the text was read back from the log and rejected as "
                        "invalid");
    case PublishOutcome::kNotSent:
      return MakeUnavailable(reason);
    case PublishOutcome::kUnknown:
      break;
  }
  return MakeUnknownOutcome("the publish", kResolvePublishHint, reason);
}

}  // namespace

CommandCoroutine ConfigCheck(CommandContext, PositionalArgs args) {
  CommandResult result;
  if (!ReadConfigFile(args[0], result))
    co_return result;
  co_return MakeResult(ExitCode::kOk, args[0] + ": valid");
}

CommandCoroutine ConfigPublish(CommandContext context, PositionalArgs args) {
  CommandResult result;
  const auto text = ReadConfigFile(args[0], result);
  if (!text)
    co_return result;
  const auto log = OpenControlLog(context);
  NetError reason;
  const bool caught_up = co_await log->CatchUp(reason);
  if (!caught_up)
    co_return MakeUnavailable(reason);
  const ControlState& state = log->state();
  // Also the case after an earlier publish of this text whose outcome was not
  // known but which was accepted.
  if (state.config_version > ConfigVersion(0) && state.config_text == *text)
    co_return MakeAlreadyCurrent(state.config_version);
  const ConfigVersion base =
      context.options.base.value_or(state.config_version);
  if (base != state.config_version)
    co_return MakeConflict(*log, base, *text);
  const auto changes = DiffConfigTexts(state.config_text, *text);
  const ConfigPublished record{base, *text, context.options.author};
  const PublishOutcome outcome = co_await Publish(*log, record, reason);
  co_return MakePublishResult(outcome, *log, record, changes, reason);
}

CommandCoroutine ConfigShow(CommandContext context, PositionalArgs) {
  const auto log = OpenControlLog(context);
  NetError reason;
  const bool caught_up = co_await log->CatchUp(reason);
  if (!caught_up)
    co_return MakeUnavailable(reason);
  const ControlState& state = log->state();
  const ConfigVersion version =
      context.options.version.value_or(state.config_version);
  std::optional<std::string> text;
  if (version == state.config_version && version > ConfigVersion(0))
    text = state.config_text;
  for (const PublishedConfig& published : log->History()) {
    if (published.version == version)
      text = published.record.text;
  }
  if (!text && state.config_version == ConfigVersion(0))
    co_return MakeResult(ExitCode::kNotFound,
                         "no configuration has been published");
  if (!text)
    co_return MakeResult(ExitCode::kNotFound, "the log does not hold version " +
                                                  VersionText(version));
  CommandResult result;
  result.text = *text;
  result.data["version"] = version.value();
  result.data["text"] = *text;
  co_return result;
}

CommandCoroutine ConfigHistory(CommandContext context, PositionalArgs) {
  const auto log = OpenControlLog(context);
  NetError reason;
  const bool caught_up = co_await log->CatchUp(reason);
  if (!caught_up)
    co_return MakeUnavailable(reason);
  CommandResult result;
  Json items = Json::array();
  std::optional<std::string> previous;
  for (const PublishedConfig& published : log->History()) {
    const bool first = published.version == ConfigVersion(1);
    std::vector<ConfigChange> changes;
    if (previous || first)
      changes = DiffConfigTexts(previous.value_or(""), published.record.text);
    result.text += "version " + VersionText(published.version) + ", offset " +
                   std::to_string(published.offset.value()) + ", by " +
                   published.record.author + "\n" + DescribeChanges(changes);
    items.push_back({{"version", published.version.value()},
                     {"offset", published.offset.value()},
                     {"author", published.record.author},
                     {"changes", ChangesToJson(changes)}});
    previous = published.record.text;
  }
  if (items.empty())
    result.text = "the log holds no published configuration\n";
  result.data["versions"] = std::move(items);
  co_return result;
}

}  // namespace cowslipmast
