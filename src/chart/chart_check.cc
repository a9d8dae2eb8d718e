#include "src/chart/chart_check.h"

#include <string>

namespace cowslipmast {

namespace {

ChartError ErrorAt(const ChartDraft& draft,
                   size_t state,
                   ChartErrorKind kind,
                   std::string found,
                   std::string expected) {
  const ChartPosition& position = draft.state_positions[state];
  return {kind, position.line, position.column, std::move(found),
          std::move(expected)};
}

bool CheckEvents(const ChartDraft& draft, ChartError& reason) {
  const StateChart& chart = draft.chart;
  const size_t events = chart.events.size();
  for (size_t cell = 0; cell < chart.table.size(); ++cell) {
    const size_t state = cell / events;
    if (chart.final_states[state] || chart.table[cell] || draft.ignored[cell])
      continue;
    const std::string& event = chart.events[cell % events];
    reason = ErrorAt(
        draft, state, ChartErrorKind::kUnhandledEvent,
        "state " + chart.states[state] + " neither handles nor ignores " +
            event,
        "a transition, or " + event + " in ignores." + chart.states[state]);
    return false;
  }
  return true;
}

// Marks all states that can be reached from a marked state along `edges`.
void MarkReachable(std::vector<bool>& marked,
                   const std::vector<std::vector<size_t>>& edges) {
  std::vector<size_t> open;
  for (size_t state = 0; state < marked.size(); ++state) {
    if (marked[state])
      open.push_back(state);
  }
  while (!open.empty()) {
    const size_t state = open.back();
    open.pop_back();
    for (const size_t next : edges[state]) {
      if (marked[next])
        continue;
      marked[next] = true;
      open.push_back(next);
    }
  }
}

std::vector<std::vector<size_t>> Edges(const StateChart& chart, bool reversed) {
  std::vector<std::vector<size_t>> edges(chart.states.size());
  for (size_t cell = 0; cell < chart.table.size(); ++cell) {
    if (!chart.table[cell])
      continue;
    const size_t from = cell / chart.events.size();
    const auto to = static_cast<size_t>(chart.table[cell]->to);
    edges[reversed ? to : from].push_back(reversed ? from : to);
  }
  return edges;
}

bool RequireMarked(const ChartDraft& draft,
                   const std::vector<bool>& marked,
                   ChartErrorKind kind,
                   const char* expected,
                   ChartError& reason) {
  for (size_t state = 0; state < marked.size(); ++state) {
    if (marked[state])
      continue;
    reason = ErrorAt(draft, state, kind, "state " + draft.chart.states[state],
                     expected);
    return false;
  }
  return true;
}

}  // namespace

bool CheckChart(const ChartDraft& draft, ChartError& reason) {
  if (!CheckEvents(draft, reason))
    return false;
  const StateChart& chart = draft.chart;
  std::vector<bool> reached(chart.states.size());
  reached[static_cast<size_t>(chart.initial)] = true;
  MarkReachable(reached, Edges(chart, false));
  if (!RequireMarked(draft, reached, ChartErrorKind::kUnreachableState,
                     "transitions to it from the initial state", reason))
    return false;
  if (chart.endless)
    return true;
  std::vector<bool> ending = chart.final_states;
  MarkReachable(ending, Edges(chart, true));
  return RequireMarked(draft, ending, ChartErrorKind::kNoPathToFinal,
                       "transitions to a final state, or endless = true",
                       reason);
}

}  // namespace cowslipmast
