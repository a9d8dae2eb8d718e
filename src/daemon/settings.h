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

/** Validated settings of one process. */
struct Settings {
  Role role = Role::kEntry;
  VmId vm;
  RegionId region;
  DataCentreId data_centre;
  Endpoint listen;        // for callers; entry processes only
  Endpoint peer_listen;   // for other processes of the system
  Endpoint admin_listen;  // for operators; also jobs on placement processes
  Endpoint store;
  Endpoint vm_list;
  std::string charts_dir;
  LogFormat log_format = LogFormat::kText;
  Duration drain_timeout{0};
  Duration drain_grace{0};
  uint64_t seed = 0;
};

enum class SettingsErrorKind { kMissing, kBadValue, kUnknownVariable };

/** Invalid setting: its name, the value found and the value expected. */
struct SettingsError {
  SettingsErrorKind kind = SettingsErrorKind::kBadValue;
  std::string setting;
  std::string found;
  std::string expected;
};

/** Sets flags from the environment variables COWSLIPMAST_<FLAG>. Must be called
 * before the command line is parsed, so that the command line overrides it. */
bool ApplyEnvironment(const char* const* environment, SettingsError& reason);

/** Makes the settings from the parsed flags; sets `reason` on failure. */
std::optional<Settings> MakeSettings(SettingsError& reason);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_DAEMON_SETTINGS_H_
