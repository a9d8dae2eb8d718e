#ifndef COWSLIPMAST_SRC_DESK_END_REQUEST_H_
#define COWSLIPMAST_SRC_DESK_END_REQUEST_H_

#include "cowslipmast/desk.h"

namespace cowslipmast {

/** Replies to a call that has no reply yet. Erases the call unless it is still
 * in progress at a target or peer. */
void Reply(DeskState& state,
           DeskStep& step,
           DeskTicket ticket,
           DeskReply reply);

/** Replies `not-run`, or `unknown` if the request may have reached a target. */
void Refuse(DeskState& state,
            DeskStep& step,
            DeskTicket ticket,
            DeskRefusal refusal);

void ReplyUnknown(DeskState& state,
                  DeskStep& step,
                  DeskTicket ticket,
                  DeskRefusal refusal);

/** Erases a call that already has a reply, once its result `reply` has arrived.
 */
void EndRepliedCall(DeskState& state,
                    DeskStep& step,
                    DeskTicket ticket,
                    const DeskReply& reply);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_DESK_END_REQUEST_H_
