#ifndef COWSLIPMAST_SRC_ROUTER_TARGET_SLOTS_H_
#define COWSLIPMAST_SRC_ROUTER_TARGET_SLOTS_H_

#include <optional>

#include "cowslipmast/router.h"

namespace cowslipmast {

/** Returns how many more requests a target may receive now. */
Slots FreeSlotsOf(const RouterState& state,
                  const RouterTarget& target,
                  TimePoint now);

/** Returns the slots of the owned targets of a service, in use or free. */
Slots OwnedSlots(const RouterState& state, const RouterService& service);

/** Picks the target with fewer requests in flight out of two random ones with a
 * free slot. */
std::optional<TargetId> PickTarget(const RouterState& state,
                                   RouterStep& step,
                                   const RouterService& service);

/** Reserves a slot of the target for a call. */
void TakeSlot(RouterState& state,
              RouterStep& step,
              RouterCall& call,
              TargetId id);

/** Releases the slot of a call; removes the target if it was its last call and
 * the target is no longer listed. */
void ReturnSlot(RouterState& state, const RouterCall& call);

/** Ends the back-off of a target. */
void NoteAnswer(RouterState& state, TimePoint now, const RouterCall& call);

/** Starts or doubles the back-off of a target. */
void NoteFailure(RouterState& state, RouterStep& step, const RouterCall& call);

/** Counts a missed deadline; starts a back-off if the target has been
 * unresponsive for the time-out. */
void NoteMissedDeadline(RouterState& state,
                        RouterStep& step,
                        const RouterCall& call);

/** Stops new requests to a target that answered that it is leaving. */
void NoteLeaving(RouterState& state, TimePoint now, const RouterCall& call);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_ROUTER_TARGET_SLOTS_H_
