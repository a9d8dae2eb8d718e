#ifndef COWSLIPMAST_SCHED_POLICY_H_
#define COWSLIPMAST_SCHED_POLICY_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "cowslipmast/sched/job.h"

namespace cowslipmast::sched {

/** Operator settings for the scheduler. */
struct Policy {
  ConfigVersion version;
  std::map<QueueId, QueuePolicy> queues;
  std::set<DataCentreId> evacuated;  // no tasks are started there

  bool operator==(const Policy&) const = default;
};

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SCHED_POLICY_H_
