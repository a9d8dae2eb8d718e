#ifndef COWSLIPMAST_STANDINS_WORKER_LEASE_WORKER_JSON_H_
#define COWSLIPMAST_STANDINS_WORKER_LEASE_WORKER_JSON_H_

#include <optional>
#include <vector>

#include "standins/common/json.h"
#include "standins/worker/lease_worker.h"

namespace cowslipmast::standins {

/** Parses the body of a start command. Returns nothing if a field is missing or
 * malformed. */
std::optional<StartTaskCommand> ParseStart(const Json& body);
std::optional<Epoch> ParseEpoch(const Json& body);
std::optional<TaskId> ParseTask(const Json& body);
/** Parses the list "tasks" of an acknowledgement. */
std::optional<std::vector<TaskRun>> ParseTaskRuns(const Json& body);

/** Returns the response to `GET .../leases`. */
Json LeasesToJson(const LeaseWorker& worker);

}  // namespace cowslipmast::standins

#endif  // COWSLIPMAST_STANDINS_WORKER_LEASE_WORKER_JSON_H_
