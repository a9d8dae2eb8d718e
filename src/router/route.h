#ifndef COWSLIPMAST_SRC_ROUTER_ROUTE_H_
#define COWSLIPMAST_SRC_ROUTER_ROUTE_H_

#include "cowslipmast/router.h"

namespace cowslipmast {

/** Sends a call that is not in progress anywhere to an owned target or, if it
 * came from a caller, to a peer of this region. Returns false if none has a
 * free slot. */
bool TrySend(RouterState& state, RouterStep& step, RequestTicket ticket);

/** Sends a call, queues it, or refuses it if neither is possible. */
void Route(RouterState& state, RouterStep& step, RequestTicket ticket);

/** Sends queued requests of a service, earliest deadline first. */
void SendQueued(RouterState& state, RouterStep& step, const ServiceId& service);
void SendAllQueued(RouterState& state, RouterStep& step);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_ROUTER_ROUTE_H_
