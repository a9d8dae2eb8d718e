#include "src/core/toml_text.h"

namespace cowslipmast {

std::optional<toml::table> ParseToml(std::string_view text, TomlError& reason) {
  try {
    return toml::parse(text);
  } catch (const toml::parse_error& error) {
    const toml::source_position& begin = error.source().begin;
    reason = {begin.line, begin.column, std::string(error.description())};
    return std::nullopt;
  }
}

std::string DescribeToml(const toml::node& node) {
  if (const auto* text = node.as_string())
    return "\"" + text->get().substr(0, 64) + "\"";
  if (const auto* number = node.as_integer())
    return std::to_string(number->get());
  if (const auto* flag = node.as_boolean())
    return flag->get() ? "true" : "false";
  switch (node.type()) {
    case toml::node_type::table:
      return "a table";
    case toml::node_type::array:
      return "an array";
    case toml::node_type::floating_point:
      return "a number with a fraction";
    default:
      return "a date or time";
  }
}

}  // namespace cowslipmast
