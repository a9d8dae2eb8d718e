#ifndef COWSLIPMAST_CHART_H_
#define COWSLIPMAST_CHART_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cowslipmast {

/** Index of a state in `StateChart::states`; valid for that chart only. */
enum class ChartState : uint16_t {};
/** Index of an event in `StateChart::events`; valid for that chart only. */
enum class ChartEvent : uint16_t {};
/** Index of an action in `StateChart::actions`; valid for that chart only. */
enum class ChartAction : uint16_t {};

/** Next state and optional action for an event in a state that handles it. */
struct ChartTransition {
  ChartState to{};
  std::optional<ChartAction> action;

  bool operator==(const ChartTransition&) const = default;
};

/** A state chart that passed all checks of ParseChart. */
struct StateChart {
  std::string name;
  ChartState initial{};
  bool endless = false;  // no path to a final state is required
  std::vector<std::string> states;
  std::vector<std::string> events;
  std::vector<std::string> actions;
  std::vector<bool> final_states;  // by state
  /** By state and event; empty where the state ignores the event. */
  std::vector<std::optional<ChartTransition>> table;

  bool operator==(const StateChart&) const = default;
};

enum class ChartErrorKind {
  kTooLarge,
  kSyntax,
  kUnknownKey,
  kMissingKey,
  kWrongType,
  kDuplicateName,
  kUnknownName,
  kDuplicateTransition,  // two transitions for one state and event
  kHandledAndIgnored,    // a state both handles and ignores an event
  kUnhandledEvent,       // a state neither handles nor ignores an event
  kTransitionFromFinal,  // a final state must ignore all events
  kUnreachableState,
  kNoPathToFinal,  // unless the chart is endless
};

/** An error in the text of a chart. Lines and columns count from 1. */
struct ChartError {
  ChartErrorKind kind = ChartErrorKind::kSyntax;
  uint32_t line = 0;
  uint32_t column = 0;
  std::string found;
  std::string expected;

  bool operator==(const ChartError&) const = default;
};

/** Longest accepted text of a chart, in bytes. */
inline constexpr size_t kMaxChartBytes = 64 * 1024;
/** Largest number of states, and of events, of a chart. */
inline constexpr size_t kMaxChartNames = 256;

/** Parses and checks a chart. On failure sets `reason` to the first error. */
std::optional<StateChart> ParseChart(std::string_view text, ChartError& reason);

/** Looks up a name. Call once and keep the result: transitions are looked up
 * by index. */
std::optional<ChartState> FindChartState(const StateChart& chart,
                                         std::string_view name);
std::optional<ChartEvent> FindChartEvent(const StateChart& chart,
                                         std::string_view name);
std::optional<ChartAction> FindChartAction(const StateChart& chart,
                                           std::string_view name);

/** Returns the transition of an event, or nothing if the state ignores it. */
std::optional<ChartTransition> FindTransition(const StateChart& chart,
                                              ChartState state,
                                              ChartEvent event);

bool IsFinalState(const StateChart& chart, ChartState state);
const std::string& ChartStateName(const StateChart& chart, ChartState state);

/** Returns a stable name for logs and messages. */
std::string_view ChartErrorName(ChartErrorKind kind);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_CHART_H_
