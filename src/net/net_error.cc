#include "src/net/net_error.h"

namespace cowslipmast {

std::string_view NetErrorName(NetErrorKind kind) {
  switch (kind) {
    case NetErrorKind::kBadAddress:
      return "bad_address";
    case NetErrorKind::kListenFailed:
      return "listen_failed";
    case NetErrorKind::kConnectFailed:
      return "connect_failed";
    case NetErrorKind::kConnectionLost:
      return "connection_lost";
    case NetErrorKind::kTimeout:
      return "timeout";
    case NetErrorKind::kBadResponse:
      return "bad_answer";
    case NetErrorKind::kResponseTooLarge:
      return "answer_too_large";
    case NetErrorKind::kTooLate:
      return "too_late";
    case NetErrorKind::kOtherInstance:
      return "other_instance";
  }
  return "unknown";
}

}  // namespace cowslipmast
