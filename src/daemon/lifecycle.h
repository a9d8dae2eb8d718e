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

/** Interprets charts/process.toml for one process. */
class Lifecycle {
 public:
  /** Nothing if the chart lacks a name that the code uses; `missing` is it. */
  static std::optional<Lifecycle> Make(const Chart& chart,
                                       std::string& missing);

  /** Applies an event and returns what to do. */
  LifecycleAction Process(LifecycleEvent event);
  LifecycleState state() const;
  const std::string& state_name() const;

 private:
  explicit Lifecycle(const Chart& chart);
  Chart m_chart;
  ChartState m_state{};
};

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_DAEMON_LIFECYCLE_H_
