#ifndef COWSLIPMAST_SRC_SCHEDULER_DECISION_LOG_H_
#define COWSLIPMAST_SRC_SCHEDULER_DECISION_LOG_H_

#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "cowslipmast/ids.h"
#include "cowslipmast/sched/scheduler.h"
#include "cowslipmast/units.h"

namespace cowslipmast::sched {

/** Decisions of one kind on one step of a job. */
struct DecisionKey {
  std::string_view event;
  JobId job;
  uint32_t iteration = 0;
  uint32_t step = 0;

  auto operator<=>(const DecisionKey&) const = default;
};

struct DecisionGroup {
  std::string runs;  // each as TASK#RUN@WORKER[DETAIL]
  size_t count = 0;
  TimePoint first;
};

/** Decisions that are not logged yet. Those of one kind on one step within
 * 0.2 s share a line: a line for each task was more than a reader of the log
 * takes at 1,000 starts a second. */
struct DecisionLog {
  std::map<DecisionKey, DecisionGroup> groups;
};

/** Takes decisions in and writes the groups that are due. */
void LogDecisions(DecisionLog& log,
                  const std::vector<Decision>& decisions,
                  Epoch epoch,
                  TimePoint now);

/** Writes all groups. */
void FlushDecisions(DecisionLog& log, Epoch epoch, TimePoint now);

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHEDULER_DECISION_LOG_H_
