#ifndef COWSLIPMAST_SRC_DESK_ROUTE_H_
#define COWSLIPMAST_SRC_DESK_ROUTE_H_

#include "cowslipmast/desk.h"

namespace cowslipmast {

/** Sends a call that is not in progress anywhere to an owned target or, if it
 * came from a caller, to a peer of this region. Returns false if none has a
 * free slot. */
bool TrySend(DeskState& state, DeskStep& step, DeskTicket ticket);

/** Sends a call, queues it, or refuses it if neither is possible. */
void Route(DeskState& state, DeskStep& step, DeskTicket ticket);

/** Sends queued requests of a service, earliest deadline first. */
void SendQueued(DeskState& state, DeskStep& step, const ServiceId& service);
void SendAllQueued(DeskState& state, DeskStep& step);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_DESK_ROUTE_H_
