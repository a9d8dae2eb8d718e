#ifndef COWSLIPMAST_SRC_CHART_CHART_CHECK_H_
#define COWSLIPMAST_SRC_CHART_CHART_CHECK_H_

#include <cstdint>
#include <vector>

#include "cowslipmast/chart.h"

namespace cowslipmast {

struct ChartPosition {
  uint32_t line = 0;
  uint32_t column = 0;
};

/** A parsed chart before CheckChart, with positions for error messages. */
struct ChartDraft {
  StateChart chart;
  std::vector<ChartPosition> state_positions;  // by state
  std::vector<bool> ignored;                   // by state and event
};

/** Checks that every state handles or ignores every event, and that every state
 * is on a path from the initial state to a final one. An endless chart needs no
 * path to a final state. */
bool CheckChart(const ChartDraft& draft, ChartError& reason);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_CHART_CHART_CHECK_H_
