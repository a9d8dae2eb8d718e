#include <utility>

#include "cowslipmast/config.h"
#include "src/config/config_draft.h"
#include "src/config/parsed_config_text.h"

namespace cowslipmast {

std::optional<ParsedConfigText> ParseConfigText(
    std::string_view text,
    std::vector<ConfigError>& reasons) {
  reasons.clear();
  if (text.size() > kMaxConfigBytes) {
    reasons.push_back({ConfigErrorKind::kTextTooLarge, 0, 0,
                       std::to_string(text.size()) + " bytes",
                       "at most " + std::to_string(kMaxConfigBytes)});
    return std::nullopt;
  }
  TomlError toml_error;
  auto root = ParseToml(text, toml_error);
  if (!root) {
    reasons.push_back({ConfigErrorKind::kSyntax, toml_error.line,
                       toml_error.column, toml_error.found, "TOML"});
    return std::nullopt;
  }
  ParsedConfigText parsed;
  parsed.root = std::make_unique<toml::table>(std::move(*root));
  ConfigErrors errors;
  parsed.draft = ReadConfig(*parsed.root, errors);
  CheckConfig(parsed.draft, errors);
  if (errors.empty())
    return parsed;
  reasons = errors.TakeSorted();
  return std::nullopt;
}

std::optional<Config> ParseConfig(std::string_view text,
                                  std::vector<ConfigError>& reasons) {
  auto parsed = ParseConfigText(text, reasons);
  if (!parsed)
    return std::nullopt;
  return std::move(parsed->draft.config);
}

}  // namespace cowslipmast
