#ifndef COWSLIPMAST_SRC_DESK_REPLY_H_
#define COWSLIPMAST_SRC_DESK_REPLY_H_

#include "cowslipmast/desk.h"

namespace cowslipmast {

/** Replies to a call that has no reply yet. The call ends with it unless it is
 * still at a target or peer. */
void Reply(DeskState& state,
           DeskStep& step,
           DeskTicket ticket,
           DeskReply reply);

/** Replies `not-run`, or `unknown` if a byte may have been written. */
void Refuse(DeskState& state,
            DeskStep& step,
            DeskTicket ticket,
            DeskRefusal refusal);

void ReplyUnknown(DeskState& state,
                  DeskStep& step,
                  DeskTicket ticket,
                  DeskRefusal refusal);

/** Ends a call that was replied to earlier, with what came of it. */
void EndLate(DeskState& state,
             DeskStep& step,
             DeskTicket ticket,
             const DeskReply& reply);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_DESK_REPLY_H_
