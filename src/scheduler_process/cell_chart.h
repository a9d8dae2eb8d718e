#ifndef COWSLIPMAST_SRC_SCHEDULER_PROCESS_CELL_CHART_H_
#define COWSLIPMAST_SRC_SCHEDULER_PROCESS_CELL_CHART_H_

#include <optional>
#include <string>
#include <string_view>

#include "cowslipmast/chart.h"

namespace cowslipmast::sched {

/** State machine of one process's ownership of the cell, from charts/cell.toml.
 */
class CellChart {
 public:
  /** Returns nothing if the chart lacks an event or action that the code uses;
   * `missing` is then its name. */
  static std::optional<CellChart> Make(const StateChart& chart,
                                       std::string& missing);

  /** Applies an event; returns the name of the action to run, empty for none.
   */
  std::string_view HandleEvent(std::string_view event);
  std::string_view state() const;

 private:
  explicit CellChart(const StateChart& chart);
  StateChart m_chart;
  ChartState m_state{};
};

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHEDULER_PROCESS_CELL_CHART_H_
