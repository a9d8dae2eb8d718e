#ifndef COWSLIPMAST_SRC_DAEMON_LIFECYCLE_H_
#define COWSLIPMAST_SRC_DAEMON_LIFECYCLE_H_

#include <optional>
#include <string>

#include "cowslipmast/chart.h"

namespace cowslipmast {

enum class LifecycleState {
  kStarting,
  kCatchingUp,
  kServing,
  kDraining,
  kStopped
};
enum class LifecycleEvent {
  kPortsOpen,
  kCaughtUp,
  kSigterm,
  kDrained,
  kDrainTimeout
};
enum class LifecycleAction { kNone, kFollowLog, kJoin, kStartDrain, kExit };

/** State machine of one process, defined by charts/process.toml. */
class Lifecycle {
 public:
  /** Fails if the chart lacks a state or event that the code uses, and sets
   * `missing` to its name. */
  static std::optional<Lifecycle> Make(const StateChart& chart,
                                       std::string& missing);

  /** Applies an event and returns the action to take. */
  LifecycleAction Process(LifecycleEvent event);
  LifecycleState state() const;
  const std::string& state_name() const;

 private:
  explicit Lifecycle(const StateChart& chart);
  StateChart m_chart;
  ChartState m_state{};
};

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_DAEMON_LIFECYCLE_H_
