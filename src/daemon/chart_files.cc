#include "src/daemon/chart_files.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <system_error>
#include <utility>
#include <vector>

namespace cowslipmast {

namespace {

namespace fs = std::filesystem;

std::optional<std::string> ReadFile(const fs::path& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file)
    return std::nullopt;
  std::string text((std::istreambuf_iterator<char>(file)),
                   std::istreambuf_iterator<char>());
  if (file.bad())
    return std::nullopt;
  return text;
}

// Sorted by name, so that the first error reported is deterministic.
std::optional<std::vector<fs::path>> ListFiles(const std::string& directory) {
  std::error_code error;
  fs::directory_iterator item(directory, error);
  std::vector<fs::path> paths;
  for (; !error && item != fs::directory_iterator(); item.increment(error)) {
    if (item->path().extension() == ".toml")
      paths.push_back(item->path());
  }
  if (error)
    return std::nullopt;
  std::sort(paths.begin(), paths.end());
  return paths;
}

}  // namespace

std::optional<StateChart> LoadChart(const std::string& path,
                                    ChartFileError& reason) {
  reason.path = path;
  const auto text = ReadFile(path);
  if (!text) {
    reason.kind = ChartFileErrorKind::kFileUnreadable;
    return std::nullopt;
  }
  auto chart = ParseChart(*text, reason.chart);
  if (!chart) {
    reason.kind = ChartFileErrorKind::kInvalidChart;
    return std::nullopt;
  }
  if (chart->name != fs::path(path).stem().string()) {
    reason.kind = ChartFileErrorKind::kNameMismatch;
    return std::nullopt;
  }
  return chart;
}

std::optional<ChartSet> LoadCharts(const std::string& directory,
                                   ChartFileError& reason) {
  const auto paths = ListFiles(directory);
  if (!paths) {
    reason = {ChartFileErrorKind::kDirectoryUnreadable, directory, {}};
    return std::nullopt;
  }
  ChartSet charts;
  for (const fs::path& path : *paths) {
    auto chart = LoadChart(path.string(), reason);
    if (!chart)
      return std::nullopt;
    charts.emplace(chart->name, std::move(*chart));
  }
  return charts;
}

std::string DescribeChartFileError(const ChartFileError& error) {
  switch (error.kind) {
    case ChartFileErrorKind::kDirectoryUnreadable:
      return error.path + ": the directory cannot be read";
    case ChartFileErrorKind::kFileUnreadable:
      return error.path + ": the file cannot be read";
    case ChartFileErrorKind::kNameMismatch:
      return error.path + ": the file must have the name of its chart";
    case ChartFileErrorKind::kInvalidChart:
      break;
  }
  return error.path + ":" + std::to_string(error.chart.line) + ":" +
         std::to_string(error.chart.column) + ": " +
         std::string(ChartErrorName(error.chart.kind)) + ": found " +
         error.chart.found + ", expected " + error.chart.expected;
}

}  // namespace cowslipmast
