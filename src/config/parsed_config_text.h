#ifndef COWSLIPMAST_SRC_CONFIG_PARSED_CONFIG_TEXT_H_
#define COWSLIPMAST_SRC_CONFIG_PARSED_CONFIG_TEXT_H_

#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "src/config/config_draft.h"

namespace cowslipmast {

/** A valid configuration and the TOML nodes that `draft` refers to. */
struct ParsedConfigText {
  std::unique_ptr<toml::table> root;
  ConfigDraft draft;
};

/** Parses and checks a text and keeps the positions of its values. */
std::optional<ParsedConfigText> ParseConfigText(
    std::string_view text,
    std::vector<ConfigError>& reasons);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_CONFIG_PARSED_CONFIG_TEXT_H_
