#ifndef COWSLIPMAST_SRC_SCHEDULER_PROCESS_DECISION_LOG_H_
#define COWSLIPMAST_SRC_SCHEDULER_PROCESS_DECISION_LOG_H_

#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "cowslipmast/ids.h"
#include "cowslipmast/sched/scheduler.h"
#include "cowslipmast/units.h"

namespace cowslipmast::sched {

/** A cell and its owner's epoch, which each line names. */
struct CellEpoch {
  CellId cell;
  Epoch epoch;
};

/** Identifies the decisions of one kind about one step of a job. */
struct DecisionKey {
  std::string_view event;
  JobId job;
  uint32_t iteration = 0;
  uint32_t step = 0;

  auto operator<=>(const DecisionKey&) const = default;
};

struct DecisionGroup {
  std::string runs;  // each as TASK#RUN@WORKER[DETAIL], separated by spaces
  size_t count = 0;
  TimePoint first_time;
};

/** Decisions that are not logged yet. Decisions of one kind about one step
 * within 0.2 s share a line, because one line per task is too much for log
 * readers at 1,000 starts per second. */
struct DecisionLog {
  std::map<DecisionKey, DecisionGroup> groups;
};

/** Adds decisions and logs the groups that are full or old enough. */
void LogDecisions(DecisionLog& log,
                  const std::vector<Decision>& decisions,
                  CellEpoch owner,
                  TimePoint now);

/** Logs all groups. */
void FlushDecisions(DecisionLog& log, CellEpoch owner, TimePoint now);

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHEDULER_PROCESS_DECISION_LOG_H_
