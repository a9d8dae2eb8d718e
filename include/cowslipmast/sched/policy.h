#ifndef COWSLIPMAST_SCHED_POLICY_H_
#define COWSLIPMAST_SCHED_POLICY_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "cowslipmast/sched/job.h"

namespace cowslipmast::sched {

/** Operator settings for the jobs of a queue. */
struct QueuePolicy {
  ServiceId service;          // the pool of workers that runs its tasks
  uint32_t priority = 0;      // 0 comes first
  uint32_t max_attempts = 1;  // failed runs of a task after which the job fails
  /** An iteration's objective is to end this factor times the critical path of
   * its steps, plus the offset, after it is due. */
  double critical_path_factor = 1.0;
  Duration objective_offset{0};

  bool operator==(const QueuePolicy&) const = default;
};

/** Operator settings for the scheduler. */
struct Policy {
  ConfigVersion version;
  std::map<QueueId, QueuePolicy> queues;
  std::set<DataCentreId> evacuated;  // no tasks are started there

  bool operator==(const Policy&) const = default;
};

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SCHED_POLICY_H_
