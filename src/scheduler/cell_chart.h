#ifndef COWSLIPMAST_SRC_SCHEDULER_CELL_CHART_H_
#define COWSLIPMAST_SRC_SCHEDULER_CELL_CHART_H_

#include <optional>
#include <string>
#include <string_view>

#include "cowslipmast/chart.h"

namespace cowslipmast::sched {

/** Interprets charts/cell.toml for one process. */
class CellChart {
 public:
  /** Nothing if the chart lacks a name that the code uses; `missing` is it. */
  static std::optional<CellChart> Make(const Chart& chart,
                                       std::string& missing);

  /** Applies an event by name; returns the name of the action, empty for none.
   */
  std::string_view Process(std::string_view event);
  std::string_view state() const;

 private:
  explicit CellChart(const Chart& chart);
  Chart m_chart;
  ChartState m_state{};
};

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHEDULER_CELL_CHART_H_
