#ifndef COWSLIPMAST_CHART_H_
#define COWSLIPMAST_CHART_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cowslipmast {

/** Handle of a state in one chart. */
enum class ChartState : uint16_t {};
/** Handle of an event in one chart. */
enum class ChartEvent : uint16_t {};
/** Handle of an action in one chart. */
enum class ChartAction : uint16_t {};

/** What an event does in a state that handles it. */
struct ChartTransition {
  ChartState to{};
  std::optional<ChartAction> action;

  bool operator==(const ChartTransition&) const = default;
};

/** A checked state chart. Handles are positions in the lists of names. */
struct Chart {
  std::string name;
  ChartState initial{};
  bool endless = false;  // may lack a path to a final state
  std::vector<std::string> states;
  std::vector<std::string> events;
  std::vector<std::string> actions;
  std::vector<bool> final_states;  // by state
  /** By state and event; empty where the state ignores the event. */
  std::vector<std::optional<ChartTransition>> table;

  bool operator==(const Chart&) const = default;
};

enum class ChartErrorKind {
  kTooLarge,
  kSyntax,
  kUnknownKey,
  kMissingKey,
  kWrongType,
  kDuplicateName,
  kUnknownName,
  kDuplicateTransition,  // two for one state and event
  kHandledAndIgnored,    // one event in one state
  kUnhandledEvent,       // neither handled nor ignored by a state
  kTransitionFromFinal,  // a final state ignores all events
  kUnreachableState,
  kNoPathToFinal,  // unless the chart is endless
};

/** What is wrong with a chart's text and where; lines count from 1. */
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

/** Parses and checks a chart. Sets `reason` to the first thing that is wrong.
 */
std::optional<Chart> ParseChart(std::string_view text, ChartError& reason);

/** Looks a name up; done once, since stepping takes handles. */
std::optional<ChartState> FindChartState(const Chart& chart,
                                         std::string_view name);
std::optional<ChartEvent> FindChartEvent(const Chart& chart,
                                         std::string_view name);
std::optional<ChartAction> FindChartAction(const Chart& chart,
                                           std::string_view name);

/** Returns the transition of an event, or nothing if the state ignores it. */
std::optional<ChartTransition> Step(const Chart& chart,
                                    ChartState state,
                                    ChartEvent event);

bool IsFinal(const Chart& chart, ChartState state);
const std::string& StateName(const Chart& chart, ChartState state);

/** Returns a stable name for logs and messages. */
std::string_view ChartErrorName(ChartErrorKind kind);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_CHART_H_
