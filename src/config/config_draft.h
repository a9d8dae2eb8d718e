#ifndef COWSLIPMAST_SRC_CONFIG_CONFIG_DRAFT_H_
#define COWSLIPMAST_SRC_CONFIG_CONFIG_DRAFT_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cowslipmast/config.h"
#include "src/config/config_errors.h"
#include "src/config/entry_reader.h"
#include "src/core/toml_text.h"

namespace cowslipmast {

/** A configuration before the checks across entries, with the TOML nodes whose
 * positions these checks report. The sets of names include entries with errors,
 * so that references to them are not reported as unknown as well. */
struct ConfigDraft {
  Config config;
  std::set<std::string> region_names;
  std::set<std::string> service_names;
  std::set<std::string> data_centre_names;
  std::set<std::string> team_names;
  std::set<std::string> worker_class_names;
  std::vector<NamedNode> region_references;
  /** Dependencies of each service. */
  std::map<std::string, std::vector<NamedNode>> depends_on;
  std::map<std::string, const toml::table*> team_tables;
  std::map<DataCentreId, const toml::node*> availability_nodes;
};

/** Reads all sections of a text. `root` must outlive the draft. */
ConfigDraft ReadConfig(const toml::table& root, ConfigErrors& errors);

/** Checks references between entries, dependency cycles and quotas. */
void CheckConfig(const ConfigDraft& draft, ConfigErrors& errors);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_CONFIG_CONFIG_DRAFT_H_
