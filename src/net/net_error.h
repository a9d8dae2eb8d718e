#ifndef COWSLIPMAST_SRC_NET_NET_ERROR_H_
#define COWSLIPMAST_SRC_NET_NET_ERROR_H_

#include <string>
#include <string_view>

namespace cowslipmast {

enum class NetErrorKind {
  kBadAddress,
  kListenFailed,
  kConnectFailed,
  kConnectionLost,
  kTimeout,
  kBadResponse,
  kResponseTooLarge,
  kTooLate,        // not sent: the latest time to start the request had passed
  kOtherInstance,  // not sent: the server has restarted
};

/** Why a network operation failed. */
struct NetError {
  NetErrorKind kind = NetErrorKind::kConnectFailed;
  /** True if any byte of the request may have reached the other side. */
  bool request_sent = false;
  std::string detail;  // message of the system or parser error
};

/** Returns a stable name for logs and metrics. */
std::string_view NetErrorName(NetErrorKind kind);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_NET_NET_ERROR_H_
