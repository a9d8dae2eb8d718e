#ifndef COWSLIPMAST_SRC_DAEMON_TARGET_MESSAGE_H_
#define COWSLIPMAST_SRC_DAEMON_TARGET_MESSAGE_H_

#include "cowslipmast/desk.h"
#include "src/net/net_error.h"

namespace cowslipmast {

/** Makes the request that is written to a target. It carries the request id
 * and the time that is left, so that a target can stop in time. */
HttpRequest MakeTargetRequest(const DeskRequest& request, Duration remaining);

/** Translates a failed call to a target. */
TargetFailure MakeTargetFailure(const NetError& error);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_DAEMON_TARGET_MESSAGE_H_
