#include "src/daemon/caller_headers.h"

#include <algorithm>

#include "src/core/strings.h"
#include "src/net/http_message.h"

namespace cowslipmast {

namespace {

constexpr std::string_view kPrefix = "Cowslipmast-";

bool IsVisibleAscii(std::string_view text) {
  return std::all_of(text.begin(), text.end(),
                     [](char c) { return c > ' ' && c <= '~'; });
}

// Rejects a repeated header, because it is ambiguous which value applies.
bool CheckOnce(const std::vector<HttpHeader>& headers,
               std::string_view name,
               BadHeader& reason) {
  const auto count = std::count_if(
      headers.begin(), headers.end(),
      [&](const auto& header) { return EqualsIgnoreCase(header.name, name); });
  if (count <= 1)
    return true;
  reason = {std::string(name), std::to_string(count) + " headers",
            "one header at most"};
  return false;
}

bool ParseFlag(const std::vector<HttpHeader>& headers,
               std::string_view name,
               bool& flag,
               BadHeader& reason) {
  const auto value = FindHeader(headers, name);
  if (!value)
    return true;
  if (*value != "true" && *value != "false") {
    reason = {std::string(name), std::string(*value), "true or false"};
    return false;
  }
  flag = *value == "true";
  return true;
}

bool ParseId(const std::vector<HttpHeader>& headers,
             std::optional<RequestId>& id,
             BadHeader& reason) {
  const auto value = FindHeader(headers, kRequestIdHeader);
  if (!value)
    return true;
  if (value->empty() || value->size() > kMaxRequestIdLength ||
      !IsVisibleAscii(*value)) {
    reason = {std::string(kRequestIdHeader), std::string(*value),
              "1 to 128 visible ASCII characters"};
    return false;
  }
  id = RequestId(std::string(*value));
  return true;
}

bool ParseDeadline(const std::vector<HttpHeader>& headers,
                   std::optional<Duration>& deadline,
                   BadHeader& reason) {
  const auto value = FindHeader(headers, kDeadlineHeader);
  if (!value)
    return true;
  const auto number = ParseUnsigned(*value);
  constexpr auto k_max_deadline =
      std::chrono::duration_cast<std::chrono::milliseconds>(kMaxDeadline);
  if (!number || *number > static_cast<uint64_t>(k_max_deadline.count())) {
    reason = {std::string(kDeadlineHeader), std::string(*value),
              "a whole number of milliseconds, at most 60000"};
    return false;
  }
  deadline = std::chrono::milliseconds(*number);
  return true;
}

}  // namespace

std::optional<CallerHeaders> ParseCallerHeaders(
    const std::vector<HttpHeader>& headers,
    BadHeader& reason) {
  for (const std::string_view name :
       {kIdempotentHeader, kRequestIdHeader, kResendHeader, kDeadlineHeader}) {
    if (!CheckOnce(headers, name, reason))
      return std::nullopt;
  }
  CallerHeaders parsed;
  if (!ParseFlag(headers, kIdempotentHeader, parsed.idempotent, reason) ||
      !ParseFlag(headers, kResendHeader, parsed.resend, reason) ||
      !ParseId(headers, parsed.id, reason) ||
      !ParseDeadline(headers, parsed.deadline, reason))
    return std::nullopt;
  return parsed;
}

std::vector<HttpHeader> WithoutCallerHeaders(std::vector<HttpHeader> headers) {
  std::erase_if(headers, [](const HttpHeader& header) {
    return EqualsIgnoreCase(
        std::string_view(header.name).substr(0, kPrefix.size()), kPrefix);
  });
  return headers;
}

}  // namespace cowslipmast
