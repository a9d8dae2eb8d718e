#ifndef COWSLIPMAST_SRC_CORE_STRINGS_H_
#define COWSLIPMAST_SRC_CORE_STRINGS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/strings/string_view.h"

namespace cowslipmast {

/** Converts to the string_view type of Debian's Abseil, which differs from
 * std::string_view. */
inline absl::string_view ToAbsl(std::string_view text) {
  return {text.data(), text.size()};
}

/** Compares ASCII text, ignoring case. */
bool EqualsIgnoreCase(std::string_view a, std::string_view b);

/** Splits at each separator; an empty text yields one empty part. */
std::vector<std::string_view> Split(std::string_view text, char separator);

/** Parses a whole decimal number; nothing on any other character or overflow.
 */
std::optional<uint64_t> ParseUnsigned(std::string_view text);

std::string Base64Encode(std::string_view bytes);
std::optional<std::string> Base64Decode(std::string_view text);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_CORE_STRINGS_H_
