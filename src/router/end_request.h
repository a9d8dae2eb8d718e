#ifndef COWSLIPMAST_SRC_ROUTER_END_REQUEST_H_
#define COWSLIPMAST_SRC_ROUTER_END_REQUEST_H_

#include "cowslipmast/router.h"

namespace cowslipmast {

/** Replies to a call that has no reply yet. Erases the call unless it is still
 * in progress at a target or peer. */
void Reply(RouterState& state,
           RouterStep& step,
           RequestTicket ticket,
           RouterReply reply);

/** Replies `not-run`, or `unknown` if the request may have reached a target. */
void Refuse(RouterState& state,
            RouterStep& step,
            RequestTicket ticket,
            RefusalReason refusal);

void ReplyUnknown(RouterState& state,
                  RouterStep& step,
                  RequestTicket ticket,
                  RefusalReason refusal);

/** Erases a call that already has a reply, once its result `reply` has arrived.
 */
void EndRepliedCall(RouterState& state,
                    RouterStep& step,
                    RequestTicket ticket,
                    const RouterReply& reply);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_ROUTER_END_REQUEST_H_
