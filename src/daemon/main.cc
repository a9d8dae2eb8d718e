// cowslipmastd: runs one process of the system in the role given by --role.

#include <spdlog/spdlog.h>
#include <unistd.h>

#include <cstdlib>
#include <iostream>
#include <memory>
#include <string_view>

#include <boost/asio/signal_set.hpp>

#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "src/daemon/chart_files.h"
#include "src/daemon/entry_role.h"
#include "src/daemon/log.h"
#include "src/daemon/placer_role.h"
#include "src/daemon/process.h"
#include "src/daemon/settings.h"

namespace cowslipmast {
namespace {

constexpr int kExitUsage = 64;        // EX_USAGE of sysexits.h
constexpr int kExitCannotStart = 69;  // EX_UNAVAILABLE
constexpr int kExitBadChart = 78;     // EX_CONFIG

std::string_view SettingsErrorName(SettingsErrorKind kind) {
  switch (kind) {
    case SettingsErrorKind::kMissing:
      return "missing";
    case SettingsErrorKind::kBadValue:
      return "bad value";
    case SettingsErrorKind::kUnknownVariable:
      return "unknown variable";
  }
  return "";
}

std::string_view ProcessErrorName(ProcessErrorKind kind) {
  switch (kind) {
    case ProcessErrorKind::kChart:
      return "the chart lacks a required state or event";
    case ProcessErrorKind::kPeerListen:
      return "cannot listen on --peer_listen";
    case ProcessErrorKind::kAdminListen:
      return "cannot listen on --admin_listen";
    case ProcessErrorKind::kRole:
      return "cannot start the role";
  }
  return "";
}

int ReportSettingsError(const SettingsError& error) {
  std::cerr << "cowslipmastd: setting " << error.setting << ": "
            << SettingsErrorName(error.kind) << " '" << error.found
            << "', expected " << error.expected << "\n";
  return kExitUsage;
}

std::optional<RoleInstance> MakeEntry(const RoleContext& context,
                                      ProcessError& reason) {
  NetError error;
  std::shared_ptr<EntryRole> role = EntryRole::Make(context, error);
  if (!role) {
    reason = {ProcessErrorKind::kRole, error.detail};
    return std::nullopt;
  }
  return RoleInstance{role->hooks(), role};
}

std::optional<RoleInstance> MakePlacer(const RoleContext& context,
                                       ProcessError& reason) {
  PlacerError error;
  std::shared_ptr<PlacerRole> role =
      PlacerRole::Make(context, PlacementPolicy{}, error);
  if (!role) {
    reason = {ProcessErrorKind::kRole, error.detail};
    return std::nullopt;
  }
  role->Start();
  return RoleInstance{role->hooks(), role};
}

int Run(const Settings& settings, const ChartSet& charts) {
  asio::io_context io;
  ProcessError error;
  const RoleFactory make_role =
      settings.role == Role::kEntry ? MakeEntry : MakePlacer;
  const auto process = Process::Make(io, settings, charts, make_role, error);
  if (!process) {
    std::cerr << "cowslipmastd: " << ProcessErrorName(error.kind) << ": "
              << error.detail << "\n";
    return kExitCannotStart;
  }
  asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&process](const boost::system::error_code& code, int) {
    if (!code)
      process->Terminate();
  });
  process->Start();
  io.run();
  return EXIT_SUCCESS;
}

int Main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "One process of cowslipmast. Every flag is also read from the "
      "environment as COWSLIPMAST_<FLAG>; the command line wins.");
  SettingsError settings_error;
  if (!ApplyEnvironment(environ, settings_error))
    return ReportSettingsError(settings_error);
  absl::ParseCommandLine(argc, argv);
  const auto settings = MakeSettings(settings_error);
  if (!settings)
    return ReportSettingsError(settings_error);
  ChartFileError chart_error;
  const auto charts = LoadCharts(settings->charts_dir, chart_error);
  if (!charts) {
    std::cerr << "cowslipmastd: " << DescribeChartFileError(chart_error)
              << "\n";
    return kExitBadChart;
  }
  InitLogging(settings->log_format, settings->vm.value());
  return Run(*settings, *charts);
}

}  // namespace
}  // namespace cowslipmast

int main(int argc, char** argv) {
  return cowslipmast::Main(argc, argv);
}
