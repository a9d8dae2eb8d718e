#ifndef COWSLIPMAST_SRC_DESK_ROUTE_H_
#define COWSLIPMAST_SRC_DESK_ROUTE_H_

#include "cowslipmast/desk.h"

namespace cowslipmast {

/** Sends a call that is nowhere to an owned target or, if it came from a
 * caller, to a peer of the region. False if none has a free slot. */
bool SendNow(DeskState& state, DeskStep& step, DeskTicket ticket);

/** Sends a call, queues it, or replies that this is impossible. */
void Route(DeskState& state, DeskStep& step, DeskTicket ticket);

/** Sends waiting requests of a service, the earliest deadline first. */
void ServeQueue(DeskState& state, DeskStep& step, const ServiceId& service);
void ServeAllQueues(DeskState& state, DeskStep& step);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_DESK_ROUTE_H_
