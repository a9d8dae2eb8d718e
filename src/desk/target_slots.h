#ifndef COWSLIPMAST_SRC_DESK_TARGET_SLOTS_H_
#define COWSLIPMAST_SRC_DESK_TARGET_SLOTS_H_

#include <optional>

#include "cowslipmast/desk.h"

namespace cowslipmast {

/** Returns how many more requests a target may receive now. */
Slots FreeSlotsOf(const DeskState& state,
                  const DeskTarget& target,
                  TimePoint now);

/** Returns the slots of the owned targets of a service, in use or free. */
Slots OwnedSlots(const DeskState& state, const DeskService& service);

/** Picks the target with fewer requests in flight out of two random ones with a
 * free slot. */
std::optional<TargetId> PickTarget(const DeskState& state,
                                   DeskStep& step,
                                   const DeskService& service);

/** Reserves a slot of the target for a call. */
void TakeSlot(DeskState& state, DeskStep& step, DeskCall& call, TargetId id);

/** Releases the slot of a call; removes the target if it was its last call and
 * the target is no longer listed. */
void ReturnSlot(DeskState& state, const DeskCall& call);

/** Ends the back-off of a target. */
void NoteAnswer(DeskState& state, TimePoint now, const DeskCall& call);

/** Starts or doubles the back-off of a target. */
void NoteFailure(DeskState& state, DeskStep& step, const DeskCall& call);

/** Counts a missed deadline; starts a back-off if the target has been
 * unresponsive for the time-out. */
void NoteMissedDeadline(DeskState& state, DeskStep& step, const DeskCall& call);

/** Stops new requests to a target that answered that it is leaving. */
void NoteLeaving(DeskState& state, TimePoint now, const DeskCall& call);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_DESK_TARGET_SLOTS_H_
