#ifndef COWSLIPMAST_CONFIG_DIFF_H_
#define COWSLIPMAST_CONFIG_DIFF_H_

#include <string>
#include <string_view>
#include <vector>

#include "cowslipmast/config.h"

namespace cowslipmast {

enum class ConfigChangeKind { kAdded, kRemoved, kChanged };

/** A key of an entry whose value differs. Values are written as in TOML. */
struct ConfigFieldChange {
  std::string key;
  std::string before;
  std::string after;

  bool operator==(const ConfigFieldChange&) const = default;
};

/** One entry that differs between two configurations. */
struct ConfigChange {
  ConfigChangeKind kind = ConfigChangeKind::kChanged;
  std::string section;  // name of the TOML array, as in [[section]]
  std::string id;
  std::vector<ConfigFieldChange> fields;  // only with kChanged

  bool operator==(const ConfigChange&) const = default;
};

/** Compares the entries of two configurations; order, layout and comments of
 * their texts make no difference. */
std::vector<ConfigChange> DiffConfigs(const Config& before,
                                      const Config& after);

/** Returns a one-line description for a terminal. */
std::string DescribeConfigChange(const ConfigChange& change);

/** Returns the lines that differ, preceded by `-` or `+`, with up to
 * `context` unchanged lines around them; empty for equal texts. */
std::string DiffLines(std::string_view before,
                      std::string_view after,
                      size_t context);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_CONFIG_DIFF_H_
