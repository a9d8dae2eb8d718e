#ifndef COWSLIPMAST_SRC_CONFIG_ENTRY_READER_H_
#define COWSLIPMAST_SRC_CONFIG_ENTRY_READER_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "src/config/config_errors.h"
#include "src/core/toml_text.h"

namespace cowslipmast {

/** Inclusive range of allowed values. */
struct IntegerRange {
  int64_t low = 0;
  int64_t high = 0;
};

/** A name in the text, with the node that it was read from. */
struct NamedNode {
  std::string name;
  const toml::node* node = nullptr;
};

/** Reads one entry of a section, such as `[[service]]`. Adds an error to
 * `errors` for each missing or invalid value. */
class EntryReader {
 public:
  /** `table`, `section` and `errors` must outlive the reader. */
  EntryReader(const toml::table& table,
              std::string_view section,
              ConfigErrors& errors)
      : m_table(table), m_section(section), m_errors(errors) {}

  const toml::table& table() const { return m_table; }

  /** Reports keys that are not in `known` and suggests the most similar one. */
  void CheckKeys(std::span<const std::string_view> known);
  std::optional<NamedNode> ReadName(std::string_view key);
  /** Reads a list of names; an absent key is an empty list. */
  std::vector<NamedNode> ReadNames(std::string_view key);
  std::optional<std::string> ReadChoice(
      std::string_view key,
      std::span<const std::string_view> choices);
  std::optional<int64_t> ReadInteger(std::string_view key, IntegerRange range);
  /** As ReadInteger, but returns `fallback` if the key is absent. */
  std::optional<int64_t> ReadIntegerOr(std::string_view key,
                                       IntegerRange range,
                                       int64_t fallback);

 private:
  const toml::node* FindRequired(std::string_view key,
                                 const std::string& example);
  std::optional<NamedNode> ReadNameNode(const toml::node& node);

  const toml::table& m_table;
  std::string_view m_section;
  ConfigErrors& m_errors;
};

/** True for 1 to 63 characters of `a-z 0-9 - _`, beginning with a letter. Names
 * are restricted because they appear in URL paths and log stream names. */
bool IsConfigName(std::string_view text);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_CONFIG_ENTRY_READER_H_
