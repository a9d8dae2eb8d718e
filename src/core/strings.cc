#include "src/core/strings.h"

#include <charconv>

#include "absl/strings/escaping.h"
#include "absl/strings/match.h"
#include "absl/strings/str_split.h"

namespace cowslipmast {

bool EqualsIgnoreCase(std::string_view a, std::string_view b) {
  return absl::EqualsIgnoreCase(ToAbsl(a), ToAbsl(b));
}

std::vector<std::string_view> Split(std::string_view text, char separator) {
  std::vector<std::string_view> parts;
  for (absl::string_view part : absl::StrSplit(ToAbsl(text), separator))
    parts.emplace_back(part.data(), part.size());
  return parts;
}

std::optional<uint64_t> ParseUnsigned(std::string_view text) {
  uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || stop != end || text.empty())
    return std::nullopt;
  return value;
}

std::string Base64Encode(std::string_view bytes) {
  return absl::Base64Escape(ToAbsl(bytes));
}

std::optional<std::string> Base64Decode(std::string_view text) {
  std::string bytes;
  if (!absl::Base64Unescape(ToAbsl(text), &bytes))
    return std::nullopt;
  return bytes;
}

}  // namespace cowslipmast
