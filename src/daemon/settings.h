#ifndef COWSLIPMAST_SRC_DAEMON_SETTINGS_H_
#define COWSLIPMAST_SRC_DAEMON_SETTINGS_H_

#include <cstdint>
#include <optional>
#include <string>

#include "cowslipmast/ids.h"
#include "cowslipmast/record.h"
#include "cowslipmast/units.h"
#include "cowslipmast/vm.h"
#include "src/daemon/log.h"

namespace cowslipmast {

/** Checked settings of one process. */
struct Settings {
  Role role = Role::kEntry;
  VmId vm;
  RegionId region;
  DataCentreId data_centre;
  Endpoint listen;        // callers; entries only
  Endpoint peer_listen;   // other processes of the system
  Endpoint admin_listen;  // health, metrics, dump; jobs on placers
  Endpoint store;
  Endpoint vm_list;
  std::string charts_dir;
  LogFormat log_format = LogFormat::kText;
  Duration drain_timeout{0};
  Duration drain_grace{0};
  uint64_t seed = 0;
};

enum class SettingsErrorKind { kMissing, kBadValue, kUnknownVariable };

/** Which setting is wrong, and what would be right. */
struct SettingsError {
  SettingsErrorKind kind = SettingsErrorKind::kBadValue;
  std::string setting;
  std::string found;
  std::string expected;
};

/** Fills flags that the command line left out from COWSLIPMAST_<FLAG>.
 * Called before the command line is parsed, so that a flag wins. */
bool ApplyEnvironment(const char* const* environment, SettingsError& reason);

/** Checks the parsed flags. */
std::optional<Settings> MakeSettings(SettingsError& reason);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_DAEMON_SETTINGS_H_
