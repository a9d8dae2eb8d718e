#include "src/record/message.h"

#include <cstdint>

namespace cowslipmast {

namespace {

// Cap'n Proto's own limit on segments of a message.
constexpr uint32_t kMaxSegments = 512;

}  // namespace

std::optional<kj::Array<capnp::word>> CopyMessage(std::string_view bytes,
                                                  DecodeError& reason) {
  if (bytes.size() > kMaxBatchBytes) {
    reason = {DecodeErrorKind::kTooLarge};
    return std::nullopt;
  }
  if (bytes.size() < sizeof(capnp::word)) {
    reason = {DecodeErrorKind::kTruncated};
    return std::nullopt;
  }
  uint32_t last_segment = 0;
  std::memcpy(&last_segment, bytes.data(), sizeof(last_segment));
  if (last_segment >= kMaxSegments) {
    reason = {DecodeErrorKind::kUnrecognisedFormat};
    return std::nullopt;
  }
  auto words = kj::heapArray<capnp::word>(bytes.size() / sizeof(capnp::word));
  std::memcpy(words.begin(), bytes.data(), words.asBytes().size());
  if (capnp::expectedSizeInWordsFromPrefix(words) > words.size()) {
    reason = {DecodeErrorKind::kTruncated};
    return std::nullopt;
  }
  return words;
}

}  // namespace cowslipmast
