#ifndef COWSLIPMAST_CONFIG_H_
#define COWSLIPMAST_CONFIG_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cowslipmast/ids.h"
#include "cowslipmast/units.h"

namespace cowslipmast {

enum class DataCentreAvailability { kInService, kOutOfService };

struct DataCentreConfig {
  DataCentreId id;
  RegionId region;
  DataCentreAvailability availability = DataCentreAvailability::kInService;

  bool operator==(const DataCentreConfig&) const = default;
};

struct ServiceConfig {
  ServiceId id;
  std::vector<ServiceId> depends_on;
  Duration deadline{0};  // default for requests without a deadline
  Slots slots;           // concurrent requests of one target

  bool operator==(const ServiceConfig&) const = default;
};

struct TeamConfig {
  TeamId id;
  Resources quota;

  bool operator==(const TeamConfig&) const = default;
};

struct WorkerClassConfig {
  WorkerClassId id;
  Resources resources;     // of one worker
  uint32_t rack_size = 0;  // workers

  bool operator==(const WorkerClassConfig&) const = default;
};

/** A valid configuration, as the operators published it. */
struct Config {
  std::vector<RegionId> regions;
  std::map<DataCentreId, DataCentreConfig> data_centres;
  std::map<ServiceId, ServiceConfig> services;
  std::map<TeamId, TeamConfig> teams;
  std::map<WorkerClassId, WorkerClassConfig> worker_classes;

  bool operator==(const Config&) const = default;
};

/** Maximum size of a configuration text, in bytes. The text is stored in one
 * log entry and in every snapshot; 18 data centres and 57 teams take about
 * 10 KiB. */
inline constexpr size_t kMaxConfigBytes = 256 * 1024;

enum class ConfigErrorKind {
  kTextTooLarge,
  kSyntax,
  kUnknownKey,
  kMissingKey,
  kWrongType,
  kOutOfRange,
  kDuplicateName,
  kUnknownReference,
  kDependencyCycle,
  kTooLargeForAnyVm,
};

/** Returns a stable name for logs and JSON output. */
std::string_view ConfigErrorName(ConfigErrorKind kind);

/** An error in a configuration text. Lines and columns count from 1; line 0
 * means that the error concerns the whole text. */
struct ConfigError {
  ConfigErrorKind kind = ConfigErrorKind::kSyntax;
  uint32_t line = 0;
  uint32_t column = 0;
  std::string found;
  std::string expected;

  bool operator==(const ConfigError&) const = default;
};

/** Parses and checks a configuration text. On failure sets `reasons` to all
 * errors, in the order of the text. */
std::optional<Config> ParseConfig(std::string_view text,
                                  std::vector<ConfigError>& reasons);

/** Returns `text` with the availability of one data centre changed. Returns
 * nothing and sets `reason` if the text has no such data centre, is not valid
 * or cannot be edited in place. */
std::optional<std::string> EditAvailability(std::string_view text,
                                            const DataCentreId& data_centre,
                                            DataCentreAvailability availability,
                                            ConfigError& reason);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_CONFIG_H_
