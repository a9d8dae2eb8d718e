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

/** Upper limit of the deadline that a caller may request. */
inline constexpr Duration kMaxDeadline = std::chrono::seconds(60);
inline constexpr size_t kMaxRequestIdLength = 128;

/** Request options from the headers of a caller. */
struct CallerHeaders {
  bool idempotent = false;
  bool resend = false;
  std::optional<RequestId> id;
  std::optional<Duration> deadline;
};

/** Invalid header: its name, the value found and the value expected. */
struct BadHeader {
  std::string header;
  std::string found;
  std::string expected;
};

/** Parses the headers of a caller's request; sets `reason` on failure. */
std::optional<CallerHeaders> ParseCallerHeaders(
    const std::vector<HttpHeader>& headers,
    BadHeader& reason);

/** Removes the headers of this protocol. */
std::vector<HttpHeader> WithoutCallerHeaders(std::vector<HttpHeader> headers);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_DAEMON_CALLER_HEADERS_H_
