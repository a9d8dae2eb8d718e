#ifndef COWSLIPMAST_SRC_DAEMON_TARGET_MESSAGE_H_
#define COWSLIPMAST_SRC_DAEMON_TARGET_MESSAGE_H_

#include "cowslipmast/router.h"
#include "src/net/net_error.h"

namespace cowslipmast {

/** Makes the request to send to a target. It carries the request id and the
 * remaining time, so that the target can stop at the deadline. */
HttpRequest MakeTargetRequest(const RouterRequest& request, Duration remaining);

/** Converts the error of a failed call to a target. */
TargetFailure MakeTargetFailure(const NetError& error);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_DAEMON_TARGET_MESSAGE_H_
