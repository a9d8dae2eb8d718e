#ifndef COWSLIPMAST_SRC_CLI_CONFIG_RESULTS_H_
#define COWSLIPMAST_SRC_CLI_CONFIG_RESULTS_H_

#include <string>
#include <vector>

#include "cowslipmast/config.h"
#include "cowslipmast/config_diff.h"
#include "src/cli/command_result.h"
#include "src/cli/control_log.h"

namespace cowslipmast {

/** The check found faults in a text. */
CommandResult MakeInvalidConfig(const std::string& file,
                                const std::vector<ConfigError>& errors);

/** Another version is current than the one that `text` should replace. */
CommandResult MakeConflict(const ControlLog& log,
                           ConfigVersion base,
                           const std::string& text);

/** `changes` as JSON and, a line each, as text. */
nlohmann::json ChangesToJson(const std::vector<ConfigChange>& changes);
std::string DescribeChanges(const std::vector<ConfigChange>& changes);

/** Compares two texts by meaning; a text that is not valid is empty. */
std::vector<ConfigChange> DiffConfigTexts(const std::string& before,
                                          const std::string& after);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_CLI_CONFIG_RESULTS_H_
