#ifndef COWSLIPMAST_SRC_DAEMON_PLACER_METRICS_H_
#define COWSLIPMAST_SRC_DAEMON_PLACER_METRICS_H_

#include "cowslipmast/placement.h"
#include "src/daemon/metrics.h"

namespace cowslipmast {

/** Adds what was counted since `reported` to the metrics, and the delays of
 * starts since the last call, which are then dropped from the placement. */
void ReportPlacement(Metrics& metrics,
                     Placement& placement,
                     PlacementCounters& reported);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_DAEMON_PLACER_METRICS_H_
