#ifndef COWSLIPMAST_SRC_CLI_CONFIG_RESULTS_H_
#define COWSLIPMAST_SRC_CLI_CONFIG_RESULTS_H_

#include <string>
#include <vector>

#include "cowslipmast/config.h"
#include "cowslipmast/config_diff.h"
#include "src/cli/command_result.h"
#include "src/cli/control_log.h"

namespace cowslipmast {

/** Result for a configuration text with errors. */
CommandResult MakeInvalidConfig(const std::string& file,
                                const std::vector<ConfigError>& errors);

/** Result for a publish of `text` whose base version is not the current one. */
CommandResult MakeConflict(const ControlLog& log,
                           ConfigVersion base,
                           const std::string& text);

/** Formats `changes` as JSON, or as text with one line for each change. */
nlohmann::json ChangesToJson(const std::vector<ConfigChange>& changes);
std::string DescribeChanges(const std::vector<ConfigChange>& changes);

/** Compares the entries of two texts. A text that is not valid counts as an
 * empty configuration. */
std::vector<ConfigChange> DiffConfigTexts(const std::string& before,
                                          const std::string& after);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_CLI_CONFIG_RESULTS_H_
