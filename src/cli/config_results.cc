#include "src/cli/config_results.h"

namespace cowslipmast {

namespace {

using Json = nlohmann::json;

constexpr size_t kDiffContextLines = 2;

Config ParsedOrEmpty(const std::string& text) {
  std::vector<ConfigError> reasons;
  return ParseConfig(text, reasons).value_or(Config());
}

std::string AuthorOfCurrent(const ControlLog& log) {
  const auto history = log.History();
  return history.empty() ? "" : history.back().record.author;
}

std::string_view ChangeName(ConfigChangeKind kind) {
  switch (kind) {
    case ConfigChangeKind::kAdded:
      return "added";
    case ConfigChangeKind::kRemoved:
      return "removed";
    case ConfigChangeKind::kChanged:
      break;
  }
  return "changed";
}

}  // namespace

CommandResult MakeInvalidConfig(const std::string& file,
                                const std::vector<ConfigError>& errors) {
  CommandResult result;
  result.code = ExitCode::kInvalidInput;
  Json items = Json::array();
  for (const ConfigError& error : errors) {
    result.text += file + ":" + std::to_string(error.line) + ":" +
                   std::to_string(error.column) + ": " +
                   std::string(ConfigErrorName(error.kind)) + ": found " +
                   error.found + ", expected " + error.expected + "\n";
    items.push_back({{"kind", ConfigErrorName(error.kind)},
                     {"line", error.line},
                     {"column", error.column},
                     {"found", error.found},
                     {"expected", error.expected}});
  }
  result.data["errors"] = std::move(items);
  return result;
}

CommandResult MakeConflict(const ControlLog& log,
                           ConfigVersion base,
                           const std::string& text) {
  const ControlState& state = log.state();
  const std::string author = AuthorOfCurrent(log);
  const std::string diff =
      DiffLines(state.config_text, text, kDiffContextLines);
  CommandResult result = MakeResult(
      ExitCode::kConflict, "not published: the text is based on version " +
                               std::to_string(base.value()) +
                               ", but the current version is " +
                               std::to_string(state.config_version.value()) +
                               (author.empty() ? "" : " by " + author) +
                               ". Lines that differ (- current, + yours):");
  result.text += diff;
  result.data["base"] = base.value();
  result.data["version"] = state.config_version.value();
  result.data["author"] = author;
  result.data["diff"] = diff;
  return result;
}

Json ChangesToJson(const std::vector<ConfigChange>& changes) {
  Json items = Json::array();
  for (const ConfigChange& change : changes) {
    Json fields = Json::object();
    for (const ConfigFieldChange& field : change.fields)
      fields[field.key] = {{"before", field.before}, {"after", field.after}};
    items.push_back({{"change", ChangeName(change.kind)},
                     {"section", change.section},
                     {"id", change.id},
                     {"fields", std::move(fields)}});
  }
  return items;
}

std::string DescribeChanges(const std::vector<ConfigChange>& changes) {
  std::string text;
  for (const ConfigChange& change : changes)
    text += "  " + DescribeConfigChange(change) + "\n";
  return text;
}

std::vector<ConfigChange> DiffConfigTexts(const std::string& before,
                                          const std::string& after) {
  return DiffConfigs(ParsedOrEmpty(before), ParsedOrEmpty(after));
}

}  // namespace cowslipmast
