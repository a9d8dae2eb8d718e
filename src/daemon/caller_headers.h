#ifndef COWSLIPMAST_SRC_DAEMON_CALLER_HEADERS_H_
#define COWSLIPMAST_SRC_DAEMON_CALLER_HEADERS_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cowslipmast/http.h"
#include "cowslipmast/ids.h"
#include "cowslipmast/units.h"

namespace cowslipmast {

inline constexpr std::string_view kIdempotentHeader = "Cowslipmast-Idempotent";
inline constexpr std::string_view kRequestIdHeader = "Cowslipmast-Request-Id";
inline constexpr std::string_view kResendHeader = "Cowslipmast-Resend";
inline constexpr std::string_view kDeadlineHeader = "Cowslipmast-Deadline-Ms";
inline constexpr std::string_view kOutcomeHeader = "Cowslipmast-Outcome";

/** Longest time that a caller may ask for. */
inline constexpr Duration kLongestDeadline = std::chrono::seconds(60);
inline constexpr size_t kLongestRequestId = 128;

/** What a caller asks for in its headers. */
struct CallerHeaders {
  bool idempotent = false;
  bool resend = false;
  std::optional<RequestId> id;
  std::optional<Duration> deadline;
};

/** Which header is wrong, what was found and what would be right. */
struct BadHeader {
  std::string header;
  std::string found;
  std::string expected;
};

/** Checks the headers of a caller's request. */
std::optional<CallerHeaders> ParseCallerHeaders(
    const std::vector<HttpHeader>& headers,
    BadHeader& reason);

/** Returns the headers without those of this protocol. */
std::vector<HttpHeader> WithoutCallerHeaders(std::vector<HttpHeader> headers);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_DAEMON_CALLER_HEADERS_H_
