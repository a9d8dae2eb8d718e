#include "src/scheduler_process/cell_chart.h"

#include <array>

namespace cowslipmast::sched {

namespace {

constexpr std::array<std::string_view, 7> kEvents = {
    "owner_missed", "offered", "claim_won", "claim_lost",
    "fenced",       "sigterm", "released"};
constexpr std::array<std::string_view, 4> kActions = {"claim", "start_cell",
                                                      "drop_cell", "release"};

}  // namespace

CellChart::CellChart(const StateChart& chart)
    : m_chart(chart), m_state(chart.initial) {}

std::optional<CellChart> CellChart::Make(const StateChart& chart,
                                         std::string& missing) {
  for (std::string_view event : kEvents) {
    missing = event;
    if (!FindChartEvent(chart, event))
      return std::nullopt;
  }
  for (std::string_view action : kActions) {
    missing = action;
    if (!FindChartAction(chart, action))
      return std::nullopt;
  }
  missing.clear();
  return CellChart(chart);
}

std::string_view CellChart::HandleEvent(std::string_view event) {
  const auto handle = FindChartEvent(m_chart, event);
  if (!handle)
    return "";
  const auto transition = FindTransition(m_chart, m_state, *handle);
  if (!transition)
    return "";
  m_state = transition->to;
  if (!transition->action)
    return "";
  return m_chart.actions[static_cast<size_t>(*transition->action)];
}

std::string_view CellChart::state() const {
  return ChartStateName(m_chart, m_state);
}

}  // namespace cowslipmast::sched
