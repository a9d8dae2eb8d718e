#include "src/daemon/settings.h"

#include <string_view>
#include <utility>

#include "absl/flags/flag.h"
#include "absl/flags/reflection.h"
#include "absl/strings/ascii.h"
#include "absl/time/time.h"
#include "src/core/strings.h"
#include "src/net/endpoint.h"

ABSL_FLAG(std::string, role, "", "entry or placer");
ABSL_FLAG(std::string, vm, "", "name of this VM in the platform's list");
ABSL_FLAG(std::string, region, "", "region of this VM");
ABSL_FLAG(std::string, data_centre, "", "data centre of this VM");
ABSL_FLAG(std::string, listen, "", "address:port for callers (entry)");
ABSL_FLAG(std::string, peer_listen, "", "address:port for peers");
ABSL_FLAG(std::string, admin_listen, "", "address:port for operators");
ABSL_FLAG(std::string, store, "", "address:port of the log service");
ABSL_FLAG(std::string, vm_list, "", "address:port of the VM list");
ABSL_FLAG(std::string, charts_dir, "charts", "directory of the state charts");
ABSL_FLAG(std::string, log_format, "text", "text or json");
ABSL_FLAG(absl::Duration,
          drain_timeout,
          absl::Seconds(65),
          "longest time that a planned stop waits for requests in progress");
ABSL_FLAG(absl::Duration,
          drain_grace,
          absl::Seconds(2),
          "time of a planned stop during which new requests are still served");
ABSL_FLAG(uint64_t, seed, 0, "seed of random choices; 0 takes one at random");

namespace cowslipmast {

namespace {

constexpr std::string_view kEnvironmentPrefix = "COWSLIPMAST_";

std::optional<std::string> Required(const absl::Flag<std::string>& flag,
                                    const char* name,
                                    SettingsError& reason) {
  std::string value = absl::GetFlag(flag);
  if (!value.empty())
    return value;
  reason = {SettingsErrorKind::kMissing, name, "", "a value"};
  return std::nullopt;
}

bool ReadEndpoint(const absl::Flag<std::string>& flag,
                  const char* name,
                  Endpoint& endpoint,
                  SettingsError& reason) {
  const auto text = Required(flag, name, reason);
  if (!text)
    return false;
  const auto parsed = ParseEndpoint(*text);
  if (!parsed) {
    reason = {SettingsErrorKind::kBadValue, name, *text,
              "an IP address and a port, as 127.0.0.1:8080"};
    return false;
  }
  endpoint = *parsed;
  return true;
}

bool ReadRole(Settings& settings, SettingsError& reason) {
  const std::string role = absl::GetFlag(FLAGS_role);
  if (role == "entry") {
    settings.role = Role::kEntry;
    return true;
  }
  if (role == "placer") {
    settings.role = Role::kPlacer;
    return true;
  }
  reason = {
      role.empty() ? SettingsErrorKind::kMissing : SettingsErrorKind::kBadValue,
      "role", role, "entry or placer"};
  return false;
}

bool ReadLogFormat(Settings& settings, SettingsError& reason) {
  const std::string format = absl::GetFlag(FLAGS_log_format);
  if (format != "text" && format != "json") {
    reason = {SettingsErrorKind::kBadValue, "log_format", format,
              "text or json"};
    return false;
  }
  settings.log_format = format == "json" ? LogFormat::kJson : LogFormat::kText;
  return true;
}

bool ReadNames(Settings& settings, SettingsError& reason) {
  const auto vm = Required(FLAGS_vm, "vm", reason);
  if (!vm)
    return false;
  const auto region = Required(FLAGS_region, "region", reason);
  if (!region)
    return false;
  const auto data_centre = Required(FLAGS_data_centre, "data_centre", reason);
  if (!data_centre)
    return false;
  settings.vm = VmId(*vm);
  settings.region = RegionId(*region);
  settings.data_centre = DataCentreId(*data_centre);
  return true;
}

bool ReadEndpoints(Settings& settings, SettingsError& reason) {
  if (settings.role == Role::kEntry &&
      !ReadEndpoint(FLAGS_listen, "listen", settings.listen, reason))
    return false;
  return ReadEndpoint(FLAGS_peer_listen, "peer_listen", settings.peer_listen,
                      reason) &&
         ReadEndpoint(FLAGS_admin_listen, "admin_listen", settings.admin_listen,
                      reason) &&
         ReadEndpoint(FLAGS_store, "store", settings.store, reason) &&
         ReadEndpoint(FLAGS_vm_list, "vm_list", settings.vm_list, reason);
}

bool ReadDuration(const absl::Flag<absl::Duration>& flag,
                  const char* name,
                  Duration& duration,
                  SettingsError& reason) {
  const absl::Duration value = absl::GetFlag(flag);
  if (value < absl::ZeroDuration() || value > absl::Hours(1)) {
    reason = {SettingsErrorKind::kBadValue, name, absl::FormatDuration(value),
              "between 0 and 1h"};
    return false;
  }
  duration = Duration(absl::ToInt64Microseconds(value));
  return true;
}

bool SetFromEnvironment(std::string_view name,
                        std::string_view value,
                        SettingsError& reason) {
  const std::string flag_name =
      absl::AsciiStrToLower(ToAbsl(name.substr(kEnvironmentPrefix.size())));
  absl::CommandLineFlag* flag = absl::FindCommandLineFlag(flag_name);
  if (!flag) {
    reason = {SettingsErrorKind::kUnknownVariable, std::string(name),
              std::string(value), "the name of a flag in upper case"};
    return false;
  }
  std::string error;
  if (!flag->ParseFrom(ToAbsl(value), &error)) {
    reason = {SettingsErrorKind::kBadValue, std::string(name),
              std::string(value), error};
    return false;
  }
  return true;
}

}  // namespace

bool ApplyEnvironment(const char* const* environment, SettingsError& reason) {
  for (; *environment; ++environment) {
    const std::string_view entry = *environment;
    if (entry.substr(0, kEnvironmentPrefix.size()) != kEnvironmentPrefix)
      continue;
    const size_t equals = entry.find('=');
    if (!SetFromEnvironment(entry.substr(0, equals), entry.substr(equals + 1),
                            reason))
      return false;
  }
  return true;
}

std::optional<Settings> MakeSettings(SettingsError& reason) {
  Settings settings;
  if (!ReadRole(settings, reason) || !ReadLogFormat(settings, reason) ||
      !ReadNames(settings, reason) || !ReadEndpoints(settings, reason))
    return std::nullopt;
  if (!ReadDuration(FLAGS_drain_timeout, "drain_timeout",
                    settings.drain_timeout, reason) ||
      !ReadDuration(FLAGS_drain_grace, "drain_grace", settings.drain_grace,
                    reason))
    return std::nullopt;
  settings.charts_dir = absl::GetFlag(FLAGS_charts_dir);
  settings.seed = absl::GetFlag(FLAGS_seed);
  return settings;
}

}  // namespace cowslipmast
