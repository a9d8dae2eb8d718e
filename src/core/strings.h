#ifndef COWSLIPMAST_SRC_CORE_STRINGS_H_
#define COWSLIPMAST_SRC_CORE_STRINGS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/strings/string_view.h"

namespace cowslipmast {

/** Debian's Abseil has a string_view type of its own. */
inline absl::string_view ToAbsl(std::string_view text) {
  return {text.data(), text.size()};
}

/** Compares ASCII text without case. */
bool EqualsIgnoreCase(std::string_view a, std::string_view b);

/** Splits at each separator; an empty text gives one empty part. */
std::vector<std::string_view> Split(std::string_view text, char separator);

/** Parses a whole decimal number; nothing on any other character or overflow.
 */
std::optional<uint64_t> ParseUnsigned(std::string_view text);

std::string Base64Encode(std::string_view bytes);
std::optional<std::string> Base64Decode(std::string_view text);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_CORE_STRINGS_H_
