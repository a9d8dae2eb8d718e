#ifndef COWSLIPMAST_SRC_NET_WORKER_JSON_H_
#define COWSLIPMAST_SRC_NET_WORKER_JSON_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "cowslipmast/worker_commands.h"
#include "src/net/http_message.h"

namespace cowslipmast {

nlohmann::json ResourcesToJson(const Resources& resources);

/** Reads `{"cpu_millis","memory_mib","accelerators"}`; absent keys are 0.
 * Fails if a value is not a number of at least 0. */
std::optional<Resources> ResourcesFromJson(const nlohmann::json& json);

/** Makes the request of a command; the path is relative to `base_path`. */
HttpRequest MakeWorkerRequest(const std::string& base_path,
                              const WorkerCommand& command);

/** Parses the task listing of a worker. */
std::optional<WorkerReport> ParseWorkerReport(const std::string& body);

/** Parses the reason of a 409 response. */
std::optional<WorkerRefusal> ParseWorkerRefusal(const std::string& body);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_NET_WORKER_JSON_H_
