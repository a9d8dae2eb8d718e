#ifndef COWSLIPMAST_SRC_SCHED_RUN_ESTIMATES_H_
#define COWSLIPMAST_SRC_SCHED_RUN_ESTIMATES_H_

#include <cstdint>
#include <map>
#include <utility>

#include "cowslipmast/sched/job.h"

namespace cowslipmast::sched {

/** Moving averages of logarithms: run times vary by factors. */
struct LogAverage {
  double mean = 0;
  double deviation = 0;  // mean distance from `mean`
};

/** Ended runs of one queue and image. */
struct RunHistory {
  uint32_t runs = 0;
  LogAverage seconds;
  LogAverage ratio;  // of the run time to the declared estimate
};

/** Run times learned from outcomes. The history with an empty image is that of
 * all runs of a queue. */
struct RunEstimates {
  std::map<std::pair<QueueId, ImageId>, RunHistory> histories;
};

/** How long a run takes. */
struct RunTime {
  Duration expected{0};
  Duration upper{0};  // with the error of the estimate added
};

/** Estimates a run of one of the step's tasks: by image, else by queue, else as
 * declared. */
RunTime EstimateRunTime(const RunEstimates& estimates,
                        const QueueId& queue,
                        const StepSpec& spec);

/** Learns from a run that was not slowed down and has completed. */
void ObserveRunTime(RunEstimates& estimates,
                    const QueueId& queue,
                    const StepSpec& spec,
                    Duration run_time);

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHED_RUN_ESTIMATES_H_
