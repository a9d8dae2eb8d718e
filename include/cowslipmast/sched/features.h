#ifndef COWSLIPMAST_SCHED_FEATURES_H_
#define COWSLIPMAST_SCHED_FEATURES_H_

#include <optional>
#include <string>
#include <vector>

namespace cowslipmast::sched {

/** Decisions that a deployment's settings switch on; all are off by default. */
struct SchedulerFeatures {
  /** Waiting work is ordered by what can still meet its objective. */
  bool overload_order = false;
  /** Work that cannot be served in time is refused when it is submitted. */
  bool admission = false;
  /** Waiting work moves to the cell where it is expected to start first. */
  bool balance = false;
  /** Capacity is reserved for large tasks, and small ones fill the gaps. */
  bool look_ahead = false;
  /** A long-running task moves to make room for a larger one that is overdue.
   */
  bool relocation = false;

  bool operator==(const SchedulerFeatures&) const = default;
};

/** Reads names of features, as in the flag `--features`. Returns nothing for an
 * unknown name and sets `unknown` to it. */
std::optional<SchedulerFeatures> ParseFeatures(
    const std::vector<std::string>& names,
    std::string& unknown);

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SCHED_FEATURES_H_
