#include "cowslipmast/chart.h"

#include <algorithm>

namespace cowslipmast {

namespace {

template <typename Handle>
std::optional<Handle> Find(const std::vector<std::string>& names,
                           std::string_view name) {
  const auto found = std::find(names.begin(), names.end(), name);
  if (found == names.end())
    return std::nullopt;
  return static_cast<Handle>(found - names.begin());
}

}  // namespace

std::optional<ChartState> FindChartState(const StateChart& chart,
                                         std::string_view name) {
  return Find<ChartState>(chart.states, name);
}

std::optional<ChartEvent> FindChartEvent(const StateChart& chart,
                                         std::string_view name) {
  return Find<ChartEvent>(chart.events, name);
}

std::optional<ChartAction> FindChartAction(const StateChart& chart,
                                           std::string_view name) {
  return Find<ChartAction>(chart.actions, name);
}

std::optional<ChartTransition> FindTransition(const StateChart& chart,
                                              ChartState state,
                                              ChartEvent event) {
  const size_t row = static_cast<size_t>(state) * chart.events.size();
  return chart.table[row + static_cast<size_t>(event)];
}

bool IsFinalState(const StateChart& chart, ChartState state) {
  return chart.final_states[static_cast<size_t>(state)];
}

const std::string& ChartStateName(const StateChart& chart, ChartState state) {
  return chart.states[static_cast<size_t>(state)];
}

std::string_view ChartErrorName(ChartErrorKind kind) {
  switch (kind) {
    case ChartErrorKind::kTooLarge:
      return "too_large";
    case ChartErrorKind::kSyntax:
      return "syntax";
    case ChartErrorKind::kUnknownKey:
      return "unknown_key";
    case ChartErrorKind::kMissingKey:
      return "missing_key";
    case ChartErrorKind::kWrongType:
      return "wrong_type";
    case ChartErrorKind::kDuplicateName:
      return "duplicate_name";
    case ChartErrorKind::kUnknownName:
      return "unknown_name";
    case ChartErrorKind::kDuplicateTransition:
      return "duplicate_transition";
    case ChartErrorKind::kHandledAndIgnored:
      return "handled_and_ignored";
    case ChartErrorKind::kUnhandledEvent:
      return "unhandled_event";
    case ChartErrorKind::kTransitionFromFinal:
      return "transition_from_final";
    case ChartErrorKind::kUnreachableState:
      return "unreachable_state";
    case ChartErrorKind::kNoPathToFinal:
      return "no_path_to_final";
  }
  return "unknown";
}

}  // namespace cowslipmast
