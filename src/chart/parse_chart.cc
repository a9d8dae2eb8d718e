#include <algorithm>
#include <array>
#include <string>
#include <utility>

#include "cowslipmast/chart.h"
#include "src/chart/chart_check.h"
#include "src/core/toml_text.h"

namespace cowslipmast {

namespace {

constexpr std::array<std::string_view, 8> kChartKeys = {
    "name",   "initial", "final",   "endless",
    "states", "events",  "ignores", "transition"};
constexpr std::array<std::string_view, 4> kTransitionKeys = {"from", "event",
                                                             "to", "action"};

bool Fail(ChartError& reason,
          ChartErrorKind kind,
          const toml::source_region& source,
          std::string found,
          std::string expected) {
  reason = {kind, source.begin.line, source.begin.column, std::move(found),
            std::move(expected)};
  return false;
}

template <size_t N>
bool CheckKeys(const toml::table& table,
               const std::array<std::string_view, N>& known,
               ChartError& reason) {
  for (const auto& [key, value] : table) {
    if (std::find(known.begin(), known.end(), key.str()) != known.end())
      continue;
    std::string expected = "one of";
    for (const std::string_view name : known)
      expected += " " + std::string(name);
    return Fail(reason, ChartErrorKind::kUnknownKey, key.source(),
                std::string(key.str()), std::move(expected));
  }
  return true;
}

bool ReadText(const toml::node& node, std::string& text, ChartError& reason) {
  const auto* value = node.as_string();
  if (!value || value->get().empty())
    return Fail(reason, ChartErrorKind::kWrongType, node.source(),
                DescribeToml(node), "a name in quotes");
  text = value->get();
  return true;
}

bool ReadKey(const toml::table& table,
             std::string_view key,
             std::string& text,
             ChartError& reason) {
  const toml::node* node = table.get(key);
  if (!node)
    return Fail(reason, ChartErrorKind::kMissingKey, table.source(),
                "no " + std::string(key), std::string(key) + " = \"...\"");
  return ReadText(*node, text, reason);
}

const toml::array* ReadArray(const toml::node& node, ChartError& reason) {
  const toml::array* array = node.as_array();
  if (!array)
    Fail(reason, ChartErrorKind::kWrongType, node.source(), DescribeToml(node),
         "an array of names");
  return array;
}

// Reads a list of distinct names.
bool ReadNames(const toml::table& table,
               std::string_view key,
               std::vector<std::string>& names,
               std::vector<ChartPosition>& positions,
               ChartError& reason) {
  const toml::node* node = table.get(key);
  if (!node)
    return Fail(reason, ChartErrorKind::kMissingKey, table.source(),
                "no " + std::string(key), std::string(key) + " = [...]");
  const toml::array* array = ReadArray(*node, reason);
  if (!array)
    return false;
  if (array->empty() || array->size() > kMaxChartNames)
    return Fail(reason, ChartErrorKind::kTooLarge, array->source(),
                std::to_string(array->size()) + " names",
                "1 to " + std::to_string(kMaxChartNames) + " names");
  for (const toml::node& item : *array) {
    std::string name;
    if (!ReadText(item, name, reason))
      return false;
    if (std::find(names.begin(), names.end(), name) != names.end())
      return Fail(reason, ChartErrorKind::kDuplicateName, item.source(), name,
                  "each name once");
    names.push_back(std::move(name));
    positions.push_back({item.source().begin.line, item.source().begin.column});
  }
  return true;
}

bool FindNameIndex(const std::vector<std::string>& names,
                   std::string_view kind,
                   const std::string& name,
                   const toml::source_region& source,
                   size_t& index,
                   ChartError& reason) {
  const auto found = std::find(names.begin(), names.end(), name);
  if (found == names.end())
    return Fail(reason, ChartErrorKind::kUnknownName, source, name,
                "one of the names in " + std::string(kind));
  index = static_cast<size_t>(found - names.begin());
  return true;
}

bool ReadFinalStates(const toml::table& root,
                     StateChart& chart,
                     ChartError& reason) {
  const toml::node* node = root.get("final");
  if (!node && chart.endless)
    return true;
  if (!node)
    return Fail(reason, ChartErrorKind::kMissingKey, root.source(), "no final",
                "final = [...], or endless = true");
  const toml::array* array = ReadArray(*node, reason);
  if (!array)
    return false;
  for (const toml::node& item : *array) {
    std::string name;
    size_t state = 0;
    if (!ReadText(item, name, reason) ||
        !FindNameIndex(chart.states, "states", name, item.source(), state,
                       reason))
      return false;
    if (chart.final_states[state])
      return Fail(reason, ChartErrorKind::kDuplicateName, item.source(), name,
                  "each name once");
    chart.final_states[state] = true;
  }
  return true;
}

bool ReadIgnoredEvent(const toml::node& item,
                      size_t state,
                      ChartDraft& draft,
                      ChartError& reason) {
  const StateChart& chart = draft.chart;
  std::string name;
  size_t event = 0;
  if (!ReadText(item, name, reason) ||
      !FindNameIndex(chart.events, "events", name, item.source(), event,
                     reason))
    return false;
  const size_t cell = state * chart.events.size() + event;
  if (draft.ignored[cell])
    return Fail(reason, ChartErrorKind::kDuplicateName, item.source(), name,
                "each name once");
  if (chart.table[cell])
    return Fail(reason, ChartErrorKind::kHandledAndIgnored, item.source(), name,
                "either a transition or an ignored event");
  draft.ignored[cell] = true;
  return true;
}

bool ReadIgnores(const toml::table& root,
                 ChartDraft& draft,
                 ChartError& reason) {
  const toml::node* node = root.get("ignores");
  if (!node)
    return true;
  const toml::table* table = node->as_table();
  if (!table)
    return Fail(reason, ChartErrorKind::kWrongType, node->source(),
                DescribeToml(*node), "a table [ignores]");
  for (const auto& [key, value] : *table) {
    size_t state = 0;
    if (!FindNameIndex(draft.chart.states, "states", std::string(key.str()),
                       key.source(), state, reason))
      return false;
    const toml::array* array = ReadArray(value, reason);
    if (!array)
      return false;
    for (const toml::node& item : *array) {
      if (!ReadIgnoredEvent(item, state, draft, reason))
        return false;
    }
  }
  return true;
}

bool ReadAction(const toml::table& table,
                StateChart& chart,
                ChartTransition& transition,
                ChartError& reason) {
  const toml::node* node = table.get("action");
  if (!node)
    return true;
  std::string name;
  if (!ReadText(*node, name, reason))
    return false;
  const auto found =
      std::find(chart.actions.begin(), chart.actions.end(), name);
  transition.action = static_cast<ChartAction>(found - chart.actions.begin());
  if (found == chart.actions.end())
    chart.actions.push_back(std::move(name));
  return true;
}

bool ReadTransition(const toml::node& node,
                    StateChart& chart,
                    ChartError& reason) {
  const toml::table* table = node.as_table();
  if (!table)
    return Fail(reason, ChartErrorKind::kWrongType, node.source(),
                DescribeToml(node), "a table [[transition]]");
  std::string from;
  std::string event;
  std::string to;
  if (!CheckKeys(*table, kTransitionKeys, reason) ||
      !ReadKey(*table, "from", from, reason) ||
      !ReadKey(*table, "event", event, reason) ||
      !ReadKey(*table, "to", to, reason))
    return false;
  size_t from_state = 0;
  size_t event_index = 0;
  size_t to_state = 0;
  if (!FindNameIndex(chart.states, "states", from, table->get("from")->source(),
                     from_state, reason) ||
      !FindNameIndex(chart.events, "events", event,
                     table->get("event")->source(), event_index, reason) ||
      !FindNameIndex(chart.states, "states", to, table->get("to")->source(),
                     to_state, reason))
    return false;
  if (chart.final_states[from_state])
    return Fail(reason, ChartErrorKind::kTransitionFromFinal, table->source(),
                from, "a state that is not final");
  auto& cell = chart.table[from_state * chart.events.size() + event_index];
  if (cell)
    return Fail(reason, ChartErrorKind::kDuplicateTransition, table->source(),
                from + " on " + event, "one transition");
  cell = ChartTransition{static_cast<ChartState>(to_state), std::nullopt};
  return ReadAction(*table, chart, *cell, reason);
}

bool ReadTransitions(const toml::table& root,
                     StateChart& chart,
                     ChartError& reason) {
  const toml::node* node = root.get("transition");
  if (!node)
    return true;
  const toml::array* array = node->as_array();
  if (!array)
    return Fail(reason, ChartErrorKind::kWrongType, node->source(),
                DescribeToml(*node), "tables [[transition]]");
  for (const toml::node& item : *array) {
    if (!ReadTransition(item, chart, reason))
      return false;
  }
  return true;
}

bool ReadEndless(const toml::table& root,
                 StateChart& chart,
                 ChartError& reason) {
  const toml::node* node = root.get("endless");
  if (!node)
    return true;
  const auto* flag = node->as_boolean();
  if (!flag)
    return Fail(reason, ChartErrorKind::kWrongType, node->source(),
                DescribeToml(*node), "true or false");
  chart.endless = flag->get();
  return true;
}

bool ReadStatesAndEvents(const toml::table& root,
                         ChartDraft& draft,
                         ChartError& reason) {
  StateChart& chart = draft.chart;
  std::string initial;
  std::vector<ChartPosition> event_positions;
  if (!CheckKeys(root, kChartKeys, reason) ||
      !ReadKey(root, "name", chart.name, reason) ||
      !ReadEndless(root, chart, reason) ||
      !ReadNames(root, "states", chart.states, draft.state_positions, reason) ||
      !ReadNames(root, "events", chart.events, event_positions, reason) ||
      !ReadKey(root, "initial", initial, reason))
    return false;
  size_t state = 0;
  if (!FindNameIndex(chart.states, "states", initial,
                     root.get("initial")->source(), state, reason))
    return false;
  chart.initial = static_cast<ChartState>(state);
  chart.final_states.resize(chart.states.size());
  chart.table.resize(chart.states.size() * chart.events.size());
  draft.ignored.resize(chart.table.size());
  return ReadFinalStates(root, chart, reason);
}

}  // namespace

std::optional<StateChart> ParseChart(std::string_view text,
                                     ChartError& reason) {
  if (text.size() > kMaxChartBytes) {
    reason = {ChartErrorKind::kTooLarge, 1, 1,
              std::to_string(text.size()) + " bytes",
              "at most " + std::to_string(kMaxChartBytes) + " bytes"};
    return std::nullopt;
  }
  TomlError toml_error;
  const auto root = ParseToml(text, toml_error);
  if (!root) {
    reason = {ChartErrorKind::kSyntax, toml_error.line, toml_error.column,
              toml_error.found, "TOML"};
    return std::nullopt;
  }
  ChartDraft draft;
  if (!ReadStatesAndEvents(*root, draft, reason) ||
      !ReadTransitions(*root, draft.chart, reason) ||
      !ReadIgnores(*root, draft, reason) || !CheckChart(draft, reason))
    return std::nullopt;
  return std::move(draft.chart);
}

}  // namespace cowslipmast
