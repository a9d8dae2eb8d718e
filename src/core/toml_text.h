#ifndef COWSLIPMAST_SRC_CORE_TOML_TEXT_H_
#define COWSLIPMAST_SRC_CORE_TOML_TEXT_H_

#include <toml++/toml.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cowslipmast {

struct TomlError {
  uint32_t line = 0;
  uint32_t column = 0;
  std::string found;  // message of the parser
};

/** Parses TOML; the nodes of the table have source positions. */
std::optional<toml::table> ParseToml(std::string_view text, TomlError& reason);

/** Describes a value in a message: its type, and the value if it is short. */
std::string DescribeToml(const toml::node& node);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_CORE_TOML_TEXT_H_
