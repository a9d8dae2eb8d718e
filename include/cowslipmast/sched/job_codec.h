#ifndef COWSLIPMAST_SCHED_JOB_CODEC_H_
#define COWSLIPMAST_SCHED_JOB_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "cowslipmast/sched/job.h"

namespace cowslipmast::sched {

/** Bytes of a record's key and value at most: the store refuses records of more
 * than 256 KiB for good. Leaves room for the length of the key. */
inline constexpr size_t kMaxRecordBytes = 256 * 1024 - 512;
/** Bytes of an accepted job at most: a record with its key. */
inline constexpr size_t kMaxJobBytes = kMaxRecordBytes - 512;
/** A larger job stays in its cell: the record of a job that moves holds the
 * state of its tasks as well. */
inline constexpr size_t kMaxMovedJobBytes = 128 * 1024;

/** Encodes a job for the store; the inverse of `DecodeJob`. */
std::string EncodeJob(const JobDefinition& spec);

/** Returns nothing if the bytes are not a job in this version of the encoding.
 */
std::optional<JobDefinition> DecodeJob(std::string_view bytes);

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SCHED_JOB_CODEC_H_
