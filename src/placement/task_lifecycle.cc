#include "src/placement/task_lifecycle.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

namespace cowslipmast {

namespace {

// Indexed by the enumerators, so in the same order.
constexpr std::array<std::string_view, 7> kTaskPhases{
    "waiting", "starting", "running", "evicting", "ending", "done", "failed"};
constexpr std::array<std::string_view, 8> kTaskEvents{
    "start", "started",       "not_started",     "evict",
    "ended", "recorded_done", "recorded_failed", "recorded_again"};
constexpr std::array<std::string_view, 5> kLeasePhases{
    "requested", "uncertain", "held", "silent", "ended"};
constexpr std::array<std::string_view, 6> kLeaseEvents{
    "granted", "refused", "reply_lost", "worker_silent", "listed", "ended"};

template <typename Names>
bool ResolveStates(const Names& names,
                   BoundChart& bound,
                   PlacementChartError& reason) {
  for (const std::string_view name : names) {
    const auto state = FindChartState(bound.chart, name);
    if (!state) {
      reason = {bound.chart.name, std::string(name)};
      return false;
    }
    bound.states.push_back(*state);
  }
  if (bound.chart.states.size() == names.size())
    return true;
  reason = {bound.chart.name, "no other states"};
  return false;
}

template <typename Names>
bool ResolveEvents(const Names& names,
                   BoundChart& bound,
                   PlacementChartError& reason) {
  for (const std::string_view name : names) {
    const auto event = FindChartEvent(bound.chart, name);
    if (!event) {
      reason = {bound.chart.name, std::string(name)};
      return false;
    }
    bound.events.push_back(*event);
  }
  return true;
}

template <typename Phase, typename Event>
bool StepBound(const BoundChart& bound, Event event, Phase& phase) {
  const auto step =
      FindTransition(bound.chart, bound.states[static_cast<size_t>(phase)],
                     bound.events[static_cast<size_t>(event)]);
  if (!step)
    return false;
  const auto found =
      std::find(bound.states.begin(), bound.states.end(), step->to);
  phase = static_cast<Phase>(found - bound.states.begin());
  return true;
}

}  // namespace

std::shared_ptr<const PlacementCharts> MakePlacementCharts(
    StateChart task,
    StateChart lease,
    PlacementChartError& reason) {
  PlacementCharts charts;
  charts.task.chart = std::move(task);
  charts.lease.chart = std::move(lease);
  if (!ResolveStates(kTaskPhases, charts.task, reason) ||
      !ResolveEvents(kTaskEvents, charts.task, reason) ||
      !ResolveStates(kLeasePhases, charts.lease, reason) ||
      !ResolveEvents(kLeaseEvents, charts.lease, reason))
    return nullptr;
  return std::make_shared<const PlacementCharts>(std::move(charts));
}

std::string_view TaskPhaseName(TaskPhase phase) {
  return kTaskPhases[static_cast<size_t>(phase)];
}

std::string_view LeasePhaseName(LeasePhase phase) {
  return kLeasePhases[static_cast<size_t>(phase)];
}

bool StepTask(const PlacementCharts& charts,
              TaskEvent event,
              TaskPhase& phase) {
  return StepBound(charts.task, event, phase);
}

bool StepLease(const PlacementCharts& charts,
               LeaseEvent event,
               LeasePhase& phase) {
  return StepBound(charts.lease, event, phase);
}

}  // namespace cowslipmast
