#ifndef COWSLIPMAST_SRC_RECORD_MESSAGE_H_
#define COWSLIPMAST_SRC_RECORD_MESSAGE_H_

#include <capnp/message.h>
#include <capnp/serialize.h>

#include <cstddef>
#include <cstring>
#include <optional>
#include <string>
#include <string_view>

#include "cowslipmast/codec.h"

namespace cowslipmast {

/** The schemas nest at most 6 levels; deeper entries are malicious. */
inline constexpr int kMaxNesting = 16;

inline std::string EncodeMessage(capnp::MessageBuilder& message) {
  const kj::Array<capnp::word> words = capnp::messageToFlatArray(message);
  const auto chars = words.asChars();
  return {chars.begin(), chars.size()};
}

/** Copies the bytes to aligned words and validates the declared sizes. */
std::optional<kj::Array<capnp::word>> CopyMessage(std::string_view bytes,
                                                  DecodeError& reason);

/** Limits the words read, so that pointers to shared objects cannot multiply
 * the work. */
inline capnp::ReaderOptions MakeReaderOptions(size_t words) {
  capnp::ReaderOptions options;
  options.traversalLimitInWords = words + 1024;
  options.nestingLimit = kMaxNesting;
  return options;
}

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_RECORD_MESSAGE_H_
