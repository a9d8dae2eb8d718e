#include "src/config/entry_reader.h"

#include <algorithm>
#include <utility>

#include "src/config/edit_distance.h"

namespace cowslipmast {

namespace {

constexpr size_t kMaxNameLength = 63;
constexpr char kNameRule[] =
    "1 to 63 characters of a-z 0-9 - _, beginning with a letter";

bool IsNameCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' ||
         c == '_';
}

std::string Join(std::span<const std::string_view> words,
                 std::string_view separator) {
  std::string text;
  for (const std::string_view word : words) {
    if (!text.empty())
      text += separator;
    text += word;
  }
  return text;
}

}  // namespace

bool IsConfigName(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameLength && text[0] >= 'a' &&
         text[0] <= 'z' &&
         std::all_of(text.begin(), text.end(), IsNameCharacter);
}

void EntryReader::CheckKeys(std::span<const std::string_view> known) {
  for (const auto& [key, value] : m_table) {
    if (std::find(known.begin(), known.end(), key.str()) != known.end())
      continue;
    const std::string_view nearest = NearestName(key.str(), known);
    m_errors.Add(ConfigErrorKind::kUnknownKey, key.source(),
                 std::string(key.str().substr(0, kMaxNameLength)),
                 nearest.empty()
                     ? "one of " + Join(known, ", ")
                     : std::string(nearest) + " (the nearest known key)");
  }
}

const toml::node* EntryReader::FindRequired(std::string_view key,
                                            const std::string& example) {
  const toml::node* node = m_table.get(key);
  if (!node)
    m_errors.Add(ConfigErrorKind::kMissingKey, m_table.source(),
                 std::string(m_section) + " without " + std::string(key),
                 std::string(key) + " = " + example);
  return node;
}

std::optional<NamedNode> EntryReader::ReadNameNode(const toml::node& node) {
  const auto* text = node.as_string();
  if (!text) {
    m_errors.Add(ConfigErrorKind::kWrongType, node.source(), DescribeToml(node),
                 "a name in quotes");
    return std::nullopt;
  }
  if (!IsConfigName(text->get())) {
    m_errors.Add(ConfigErrorKind::kOutOfRange, node.source(),
                 DescribeToml(node), kNameRule);
    return std::nullopt;
  }
  return NamedNode{text->get(), &node};
}

std::optional<NamedNode> EntryReader::ReadName(std::string_view key) {
  const toml::node* node = FindRequired(key, "\"...\"");
  if (!node)
    return std::nullopt;
  return ReadNameNode(*node);
}

std::vector<NamedNode> EntryReader::ReadNames(std::string_view key) {
  const toml::node* node = m_table.get(key);
  if (!node)
    return {};
  const toml::array* array = node->as_array();
  if (!array) {
    m_errors.Add(ConfigErrorKind::kWrongType, node->source(),
                 DescribeToml(*node), "a list of names, as [\"...\"]");
    return {};
  }
  std::vector<NamedNode> names;
  for (const toml::node& item : *array) {
    if (auto name = ReadNameNode(item))
      names.push_back(std::move(*name));
  }
  return names;
}

std::optional<std::string> EntryReader::ReadChoice(
    std::string_view key,
    std::span<const std::string_view> choices) {
  const std::string expected = "\"" + Join(choices, "\" or \"") + "\"";
  const toml::node* node = FindRequired(key, expected);
  if (!node)
    return std::nullopt;
  const auto* text = node->as_string();
  const bool known = text && std::find(choices.begin(), choices.end(),
                                       text->get()) != choices.end();
  if (!known) {
    m_errors.Add(
        text ? ConfigErrorKind::kOutOfRange : ConfigErrorKind::kWrongType,
        node->source(), DescribeToml(*node), expected);
    return std::nullopt;
  }
  return text->get();
}

std::optional<int64_t> EntryReader::ReadInteger(std::string_view key,
                                                IntegerRange range) {
  const std::string bounds = "a whole number from " +
                             std::to_string(range.low) + " to " +
                             std::to_string(range.high);
  const toml::node* node = FindRequired(key, bounds);
  if (!node)
    return std::nullopt;
  const auto* number = node->as_integer();
  if (!number) {
    m_errors.Add(ConfigErrorKind::kWrongType, node->source(),
                 DescribeToml(*node), bounds);
    return std::nullopt;
  }
  if (number->get() < range.low || number->get() > range.high) {
    m_errors.Add(ConfigErrorKind::kOutOfRange, node->source(),
                 DescribeToml(*node), bounds);
    return std::nullopt;
  }
  return number->get();
}

std::optional<int64_t> EntryReader::ReadIntegerOr(std::string_view key,
                                                  IntegerRange range,
                                                  int64_t fallback) {
  return m_table.contains(key) ? ReadInteger(key, range) : fallback;
}

}  // namespace cowslipmast
