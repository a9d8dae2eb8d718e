#ifndef COWSLIPMAST_SCHED_JOB_CODEC_H_
#define COWSLIPMAST_SCHED_JOB_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "cowslipmast/sched/job.h"

namespace cowslipmast::sched {

/** Encodes a job for the store; the inverse of `DecodeJob`. */
std::string EncodeJob(const JobDefinition& spec);

/** Returns nothing if the bytes are not a job in this version of the encoding.
 */
std::optional<JobDefinition> DecodeJob(std::string_view bytes);

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SCHED_JOB_CODEC_H_
