#ifndef COWSLIPMAST_SRC_SCHEDULER_PROCESS_MANIFEST_H_
#define COWSLIPMAST_SRC_SCHEDULER_PROCESS_MANIFEST_H_

#include <string>
#include <vector>

#include "cowslipmast/sched/policy.h"
#include "src/scheduler_process/caller_keys.h"

namespace cowslipmast::sched {

/** Host and path prefix of the requests that belong to a queue. */
struct QueueRoute {
  QueueId queue;
  std::string host;
  std::string path_prefix;
  bool is_public = false;  // calls need no key

  bool operator==(const QueueRoute&) const = default;
};

/** The operators' settings as last read from the store. */
struct Manifest {
  bool known = false;  // false until the first version has been read
  Policy policy;
  std::vector<QueueRoute> routes;
  CallerKeys keys;

  bool operator==(const Manifest&) const = default;
};

/** Returns the route with the request's host and the longest matching path
 * prefix; null if there is none. */
const QueueRoute* FindRoute(const Manifest& manifest,
                            std::string_view host,
                            std::string_view path);

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHEDULER_PROCESS_MANIFEST_H_
