#ifndef COWSLIPMAST_SCHED_POLICY_H_
#define COWSLIPMAST_SCHED_POLICY_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "cowslipmast/sched/job.h"

namespace cowslipmast::sched {

/** Operator settings for a workspace, whose jobs are limited together. */
struct WorkspacePolicy {
  uint32_t weight = 1;  // its share, relative to the others, when all is full
  Resources cap;        // what it may have running in all cells; 0 for no limit

  bool operator==(const WorkspacePolicy&) const = default;
};

/** Operator settings for the scheduler. */
struct Policy {
  ConfigVersion version;
  std::map<QueueId, QueuePolicy> queues;
  std::map<WorkspaceId, WorkspacePolicy> workspaces;
  std::set<DataCentreId> evacuated;  // no tasks are started there

  bool operator==(const Policy&) const = default;
};

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SCHED_POLICY_H_
