#ifndef COWSLIPMAST_SRC_SCHEDULER_MANIFEST_H_
#define COWSLIPMAST_SRC_SCHEDULER_MANIFEST_H_

#include <string>
#include <vector>

#include "cowslipmast/sched/policy.h"

namespace cowslipmast::sched {

/** Which calls belong to a queue. */
struct QueueRoute {
  QueueId queue;
  std::string host;
  std::string path_prefix;

  bool operator==(const QueueRoute&) const = default;
};

/** What operators want, as far as it is known. */
struct Manifest {
  bool known = false;  // false until a first version was read
  Policy policy;
  std::vector<QueueRoute> routes;

  bool operator==(const Manifest&) const = default;
};

/** The route of a call: its host, and the longest prefix of its path. */
const QueueRoute* FindRoute(const Manifest& manifest,
                            std::string_view host,
                            std::string_view path);

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHEDULER_MANIFEST_H_
