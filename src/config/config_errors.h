#ifndef COWSLIPMAST_SRC_CONFIG_CONFIG_ERRORS_H_
#define COWSLIPMAST_SRC_CONFIG_CONFIG_ERRORS_H_

#include <cstddef>
#include <string>
#include <vector>

#include "cowslipmast/config.h"
#include "src/core/toml_text.h"

namespace cowslipmast {

/** Maximum number of errors reported for one text; a text of random bytes could
 * otherwise use unbounded memory. */
inline constexpr size_t kMaxConfigErrors = 100;

/** Collects the errors of one text, up to kMaxConfigErrors. */
class ConfigErrors {
 public:
  void Add(ConfigErrorKind kind,
           const toml::source_region& source,
           std::string found,
           std::string expected);
  /** Adds an error that concerns the whole text. */
  void AddWithoutPosition(ConfigErrorKind kind,
                          std::string found,
                          std::string expected);

  bool empty() const { return m_errors.empty(); }
  /** Moves the errors out, sorted by their position in the text. */
  std::vector<ConfigError> TakeSorted();

 private:
  std::vector<ConfigError> m_errors;
};

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_CONFIG_CONFIG_ERRORS_H_
