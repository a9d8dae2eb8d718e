#include "src/daemon/lifecycle.h"

#include <array>
#include <string_view>
#include <utility>

namespace cowslipmast {

namespace {

constexpr std::array<std::pair<LifecycleState, std::string_view>, 5>
    kStateNames = {{
        {LifecycleState::kStarting, "starting"},
        {LifecycleState::kCatchingUp, "catching_up"},
        {LifecycleState::kServing, "serving"},
        {LifecycleState::kDraining, "draining"},
        {LifecycleState::kStopped, "stopped"},
    }};

constexpr std::array<std::pair<LifecycleEvent, std::string_view>, 5>
    kEventNames = {{
        {LifecycleEvent::kPortsOpen, "ports_open"},
        {LifecycleEvent::kCaughtUp, "caught_up"},
        {LifecycleEvent::kSigterm, "sigterm"},
        {LifecycleEvent::kDrained, "drained"},
        {LifecycleEvent::kDrainTimeout, "drain_timeout"},
    }};

constexpr std::array<std::pair<LifecycleAction, std::string_view>, 4>
    kActionNames = {{
        {LifecycleAction::kFollowLog, "follow_log"},
        {LifecycleAction::kJoin, "join"},
        {LifecycleAction::kStartDrain, "start_drain"},
        {LifecycleAction::kExit, "exit"},
    }};

template <typename Key, size_t Size>
Key FindKey(const std::array<std::pair<Key, std::string_view>, Size>& names,
            std::string_view name,
            Key fallback) {
  for (const auto& [key, known] : names) {
    if (known == name)
      return key;
  }
  return fallback;
}

template <typename Key, size_t Size>
std::string_view FindName(
    const std::array<std::pair<Key, std::string_view>, Size>& names,
    Key wanted) {
  for (const auto& [key, name] : names) {
    if (key == wanted)
      return name;
  }
  return "";
}

}  // namespace

Lifecycle::Lifecycle(const StateChart& chart)
    : m_chart(chart), m_state(chart.initial) {}

std::optional<Lifecycle> Lifecycle::Make(const StateChart& chart,
                                         std::string& missing) {
  for (const auto& [state, name] : kStateNames) {
    missing = name;
    if (!FindChartState(chart, name))
      return std::nullopt;
  }
  for (const auto& [event, name] : kEventNames) {
    missing = name;
    if (!FindChartEvent(chart, name))
      return std::nullopt;
  }
  missing.clear();
  return Lifecycle(chart);
}

LifecycleAction Lifecycle::Process(LifecycleEvent event) {
  const auto handle = FindChartEvent(m_chart, FindName(kEventNames, event));
  const auto transition = FindTransition(m_chart, m_state, *handle);
  if (!transition)
    return LifecycleAction::kNone;
  m_state = transition->to;
  if (!transition->action)
    return LifecycleAction::kNone;
  const std::string& action =
      m_chart.actions[static_cast<size_t>(*transition->action)];
  return FindKey(kActionNames, action, LifecycleAction::kNone);
}

LifecycleState Lifecycle::state() const {
  return FindKey(kStateNames, ChartStateName(m_chart, m_state),
                 LifecycleState::kStarting);
}

const std::string& Lifecycle::state_name() const {
  return ChartStateName(m_chart, m_state);
}

}  // namespace cowslipmast
