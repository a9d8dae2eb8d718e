#include <utility>

#include "cowslipmast/config.h"
#include "src/config/parsed_config_text.h"

namespace cowslipmast {

namespace {

bool IsContinuationByte(char byte) {
  return (static_cast<unsigned char>(byte) & 0xc0U) == 0x80U;
}

// Converts a position, in lines and Unicode characters from 1, to a byte
// offset.
std::optional<size_t> ByteOffsetOf(std::string_view text,
                                   const toml::source_position& position) {
  size_t offset = 0;
  for (uint32_t line = 1; line < position.line; ++line) {
    offset = text.find('\n', offset);
    if (offset == std::string_view::npos)
      return std::nullopt;
    ++offset;
  }
  for (uint32_t column = 1; column < position.column; ++column) {
    if (offset >= text.size())
      return std::nullopt;
    ++offset;
    while (offset < text.size() && IsContinuationByte(text[offset]))
      ++offset;
  }
  return offset;
}

// Replaces the characters between the quotes. A value written with escape
// sequences does not contain `before` literally; it is replaced together with
// its quotes.
std::optional<std::string> ReplaceValue(std::string_view text,
                                        const toml::source_region& source,
                                        std::string_view before,
                                        std::string_view after) {
  const auto begin = ByteOffsetOf(text, source.begin);
  const auto end = ByteOffsetOf(text, source.end);
  if (!begin || !end || *end > text.size() || *end < *begin + 2)
    return std::nullopt;
  const std::string_view value = text.substr(*begin, *end - *begin);
  const size_t plain = value.find(before);
  std::string edited(value);
  if (plain != std::string_view::npos)
    edited.replace(plain, before.size(), after);
  else
    edited = "\"" + std::string(after) + "\"";
  return std::string(text.substr(0, *begin)) + edited +
         std::string(text.substr(*end));
}

std::string_view AvailabilityText(DataCentreAvailability availability) {
  return availability == DataCentreAvailability::kInService ? "in" : "out";
}

}  // namespace

std::optional<std::string> EditAvailability(std::string_view text,
                                            const DataCentreId& data_centre,
                                            DataCentreAvailability availability,
                                            ConfigError& reason) {
  std::vector<ConfigError> reasons;
  auto parsed = ParseConfigText(text, reasons);
  if (!parsed) {
    reason = reasons.front();
    return std::nullopt;
  }
  Config& wanted = parsed->draft.config;
  const auto found = wanted.data_centres.find(data_centre);
  if (found == wanted.data_centres.end()) {
    reason = {ConfigErrorKind::kUnknownReference, 0, 0, data_centre.value(),
              "the id of a data centre"};
    return std::nullopt;
  }
  const DataCentreAvailability before = found->second.availability;
  if (before == availability)
    return std::string(text);
  found->second.availability = availability;
  const toml::source_region& source =
      parsed->draft.availability_nodes.at(data_centre)->source();
  auto edited = ReplaceValue(text, source, AvailabilityText(before),
                             AvailabilityText(availability));
  // Parsing the edited text verifies that only this value has changed.
  if (edited && ParseConfig(*edited, reasons) == wanted)
    return edited;
  reason = {ConfigErrorKind::kSyntax, source.begin.line, source.begin.column,
            "a state that cannot be edited in place",
            "state = \"in\" or state = \"out\""};
  return std::nullopt;
}

}  // namespace cowslipmast
