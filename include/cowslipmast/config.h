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

enum class DataCentreAvailability { kIn, kOut };

struct DataCentreConfig {
  DataCentreId id;
  RegionId region;
  DataCentreAvailability availability = DataCentreAvailability::kIn;

  bool operator==(const DataCentreConfig&) const = default;
};

struct ServiceConfig {
  ServiceId id;
  std::vector<ServiceId> depends_on;
  Duration deadline{0};  // default for requests without a deadline
  Slots slots;           // of one target

  bool operator==(const ServiceConfig&) const = default;
};

struct TeamConfig {
  TeamId id;
  Resources quota;

  bool operator==(const TeamConfig&) const = default;
};

struct WorkerClassConfig {
  WorkerClassId id;
  Resources resources;  // of one worker
  uint32_t rack_size = 0;

  bool operator==(const WorkerClassConfig&) const = default;
};

/** The operators' configuration after it passed the check. */
struct Config {
  std::vector<RegionId> regions;
  std::map<DataCentreId, DataCentreConfig> data_centres;
  std::map<ServiceId, ServiceConfig> services;
  std::map<TeamId, TeamConfig> teams;
  std::map<WorkerClassId, WorkerClassConfig> worker_classes;

  bool operator==(const Config&) const = default;
};

/** Longest accepted configuration text, in bytes. The text travels in one log
 * entry and in every snapshot; 18 data centres and 57 teams take about 10 KiB.
 */
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

/** What is wrong with a configuration text and where; lines count from 1, and
 * line 0 stands for the text as a whole. */
struct ConfigError {
  ConfigErrorKind kind = ConfigErrorKind::kSyntax;
  uint32_t line = 0;
  uint32_t column = 0;
  std::string found;
  std::string expected;

  bool operator==(const ConfigError&) const = default;
};

/** Parses and checks a configuration text. Sets `reasons` to all that is wrong.
 */
std::optional<Config> ParseConfig(std::string_view text,
                                  std::vector<ConfigError>& reasons);

/** Returns `text` with the availability of one data centre changed, or nothing
 * if the text has no such data centre or does not parse. */
std::optional<std::string> EditAvailability(std::string_view text,
                                            const DataCentreId& data_centre,
                                            DataCentreAvailability availability,
                                            ConfigError& reason);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_CONFIG_H_
