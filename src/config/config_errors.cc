#include "src/config/config_errors.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace cowslipmast {

void ConfigErrors::Add(ConfigErrorKind kind,
                       const toml::source_region& source,
                       std::string found,
                       std::string expected) {
  if (m_errors.size() < kMaxConfigErrors)
    m_errors.push_back({kind, source.begin.line, source.begin.column,
                        std::move(found), std::move(expected)});
}

void ConfigErrors::AddWithoutPosition(ConfigErrorKind kind,
                                      std::string found,
                                      std::string expected) {
  Add(kind, toml::source_region{}, std::move(found), std::move(expected));
}

std::vector<ConfigError> ConfigErrors::TakeSorted() {
  std::stable_sort(m_errors.begin(), m_errors.end(),
                   [](const ConfigError& a, const ConfigError& b) {
                     return std::tie(a.line, a.column) <
                            std::tie(b.line, b.column);
                   });
  return std::move(m_errors);
}

std::string_view ConfigErrorName(ConfigErrorKind kind) {
  switch (kind) {
    case ConfigErrorKind::kTextTooLarge:
      return "text_too_large";
    case ConfigErrorKind::kSyntax:
      return "syntax";
    case ConfigErrorKind::kUnknownKey:
      return "unknown_key";
    case ConfigErrorKind::kMissingKey:
      return "missing_key";
    case ConfigErrorKind::kWrongType:
      return "wrong_type";
    case ConfigErrorKind::kOutOfRange:
      return "out_of_range";
    case ConfigErrorKind::kDuplicateName:
      return "duplicate_name";
    case ConfigErrorKind::kUnknownReference:
      return "unknown_reference";
    case ConfigErrorKind::kDependencyCycle:
      return "dependency_cycle";
    case ConfigErrorKind::kTooLargeForAnyVm:
      return "too_large_for_any_vm";
  }
  return "unknown";
}

}  // namespace cowslipmast
