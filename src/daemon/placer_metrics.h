#ifndef COWSLIPMAST_SRC_DAEMON_PLACER_METRICS_H_
#define COWSLIPMAST_SRC_DAEMON_PLACER_METRICS_H_

#include "cowslipmast/placement.h"
#include "src/daemon/metrics.h"

namespace cowslipmast {

/** Adds the increments since `reported` to the metrics and updates `reported`.
 * Moves the recorded start delays from the placement to the metrics. */
void ReportPlacement(Metrics& metrics,
                     PlacementState& placement,
                     PlacementCounters& reported);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_DAEMON_PLACER_METRICS_H_
