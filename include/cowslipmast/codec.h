#ifndef COWSLIPMAST_CODEC_H_
#define COWSLIPMAST_CODEC_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "cowslipmast/record.h"

namespace cowslipmast {

enum class DecodeErrorKind {
  kTruncated,
  kTooLarge,
  kUnrecognisedFormat,  // not written by this system
  kUnknownVersion,      // written by an incompatible version
  kMalformed,
};

struct DecodeError {
  DecodeErrorKind kind = DecodeErrorKind::kMalformed;
};

/** Maximum size of a log entry to decode; larger than any snapshot. */
inline constexpr size_t kMaxBatchBytes = 8 * 1024 * 1024;

/** Encodes a batch as one log entry. */
std::string EncodeBatch(const Batch& batch);

/** Decodes a log entry. Unknown record kinds become UnknownRecord. */
std::optional<Batch> DecodeBatch(std::string_view entry, DecodeError& reason);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_CODEC_H_
