#ifndef COWSLIPMAST_SRC_DAEMON_JOB_JSON_H_
#define COWSLIPMAST_SRC_DAEMON_JOB_JSON_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "cowslipmast/placement.h"
#include "cowslipmast/record.h"

namespace cowslipmast {

enum class JobJsonErrorKind { kSyntax, kMissingKey, kUnknownKey, kWrongType };

/** Why the body of a submission is invalid. */
struct JobJsonError {
  JobJsonErrorKind kind = JobJsonErrorKind::kSyntax;
  std::string key;
};

nlohmann::json JobSpecToJson(const JobSpec& spec);

/** Reads `{"id","team","kind","task_count","resources","run_ms","urgent",
 * "latency_critical","data_centres"}`; the last three may be absent. */
std::optional<JobSpec> JobSpecFromJson(const std::string& body,
                                       JobJsonError& reason);

/** Return stable names for responses and metrics. */
std::string_view JobJsonErrorName(JobJsonErrorKind kind);
std::string_view SubmissionErrorName(SubmissionErrorKind kind);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_DAEMON_JOB_JSON_H_
