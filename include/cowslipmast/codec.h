#ifndef COWSLIPMAST_CODEC_H_
#define COWSLIPMAST_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "cowslipmast/record.h"

namespace cowslipmast {

enum class DecodeErrorKind {
  kTruncated,
  kTooLarge,
  kForeign,         // not written by this system
  kUnknownVersion,  // written by an incompatible version
  kMalformed,
};

struct DecodeError {
  DecodeErrorKind kind = DecodeErrorKind::kMalformed;
};

/** Encodes a batch as one log entry. */
std::string EncodeBatch(const Batch& batch);

/** Decodes a log entry. Unknown record kinds become UnknownRecord. */
std::optional<Batch> DecodeBatch(std::string_view entry, DecodeError& reason);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_CODEC_H_
