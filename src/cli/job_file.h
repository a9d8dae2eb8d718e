#ifndef COWSLIPMAST_SRC_CLI_JOB_FILE_H_
#define COWSLIPMAST_SRC_CLI_JOB_FILE_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "src/cli/cli_options.h"

namespace cowslipmast {

/** Maximum size of a job file, in bytes. */
inline constexpr size_t kMaxJobFileBytes = 64 * 1024;

/** The key of a job that is wrong, and what is expected. */
struct JobFileError {
  std::string key;
  std::string expected;
};

/** Parses a JSON object whose keys are the flags of `job submit`. */
std::optional<JobRequest> ParseJobFile(std::string_view text,
                                       JobFileError& reason);

/** Checks what can be checked without the configuration: names and ranges. */
bool CheckJob(const JobRequest& job, JobFileError& reason);

/** Returns the body of POST /v1/jobs. */
std::string JobToJson(const JobRequest& job);

/** Returns a new id with 128 random bits. */
std::string MakeJobId();

/** True for 1 to 128 characters of `A-Z a-z 0-9 . - _`, other than `.` and
 * `..`. Ids are restricted because they appear in URL paths. */
bool IsJobId(std::string_view text);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_CLI_JOB_FILE_H_
