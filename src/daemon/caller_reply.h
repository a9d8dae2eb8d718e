#ifndef COWSLIPMAST_SRC_DAEMON_CALLER_REPLY_H_
#define COWSLIPMAST_SRC_DAEMON_CALLER_REPLY_H_

#include "cowslipmast/router_message.h"
#include "src/daemon/caller_headers.h"

namespace cowslipmast {

/** Makes the response to a caller; see docs/protocol.md. */
HttpResponse MakeCallerResponse(RouterReply reply, const RequestId& id);

/** Makes the response to a request with an invalid header. */
HttpResponse MakeBadHeaderResponse(const BadHeader& bad);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_DAEMON_CALLER_REPLY_H_
