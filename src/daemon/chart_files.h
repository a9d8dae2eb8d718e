#ifndef COWSLIPMAST_SRC_DAEMON_CHART_FILES_H_
#define COWSLIPMAST_SRC_DAEMON_CHART_FILES_H_

#include <map>
#include <optional>
#include <string>

#include "cowslipmast/chart.h"

namespace cowslipmast {

/** Charts by name. */
using ChartSet = std::map<std::string, Chart>;

enum class ChartFileErrorKind {
  kDirectoryUnreadable,
  kFileUnreadable,
  kInvalidChart,
  kNameMismatch,  // the file's name is not the chart's name with .toml
};

/** Which chart file is wrong and why. */
struct ChartFileError {
  ChartFileErrorKind kind = ChartFileErrorKind::kDirectoryUnreadable;
  std::string path;
  ChartError chart;  // only with kInvalidChart
};

/** Reads and checks one file. */
std::optional<Chart> LoadChart(const std::string& path, ChartFileError& reason);

/** Reads and checks all `*.toml` files of a directory. */
std::optional<ChartSet> LoadCharts(const std::string& directory,
                                   ChartFileError& reason);

/** One line for a log or a terminal. */
std::string DescribeChartFileError(const ChartFileError& error);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_DAEMON_CHART_FILES_H_
