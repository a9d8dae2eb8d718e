#ifndef COWSLIPMAST_SCHED_POLICY_H_
#define COWSLIPMAST_SCHED_POLICY_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "cowslipmast/sched/job.h"

namespace cowslipmast::sched {

/** How the operators want a queue's jobs to be treated. */
struct QueuePolicy {
  ServiceId service;      // the pool of workers that runs its tasks
  uint32_t priority = 0;  // 0 comes first
  uint32_t attempts = 1;  // failed runs of a task after which the job fails
  double stretch = 1.0;   // objective: this times the longest chain of work,
  Duration target_latency{0};  // and this much more

  bool operator==(const QueuePolicy&) const = default;
};

/** The operators' wishes that the scheduler follows. */
struct Policy {
  ConfigVersion version;
  std::map<QueueId, QueuePolicy> queues;
  std::set<DataCentreId> evacuated;  // start nothing there

  bool operator==(const Policy&) const = default;
};

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SCHED_POLICY_H_
