#ifndef COWSLIPMAST_SRC_DAEMON_CHART_FILES_H_
#define COWSLIPMAST_SRC_DAEMON_CHART_FILES_H_

#include <map>
#include <optional>
#include <string>

#include "cowslipmast/chart.h"

namespace cowslipmast {

/** State charts by name. */
using ChartSet = std::map<std::string, StateChart>;

enum class ChartFileErrorKind {
  kDirectoryUnreadable,
  kFileUnreadable,
  kInvalidChart,
  kNameMismatch,  // the file is not named <name of the chart>.toml
};

/** Invalid chart file and the reason. */
struct ChartFileError {
  ChartFileErrorKind kind = ChartFileErrorKind::kDirectoryUnreadable;
  std::string path;
  ChartError chart;  // only with kInvalidChart
};

/** Reads and validates one chart file. */
std::optional<StateChart> LoadChart(const std::string& path,
                                    ChartFileError& reason);

/** Reads and validates all `*.toml` files of a directory. */
std::optional<ChartSet> LoadCharts(const std::string& directory,
                                   ChartFileError& reason);

/** Formats the error as one line for a log or a terminal. */
std::string DescribeChartFileError(const ChartFileError& error);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_DAEMON_CHART_FILES_H_
