#ifndef COWSLIPMAST_SRC_DESK_TARGETS_H_
#define COWSLIPMAST_SRC_DESK_TARGETS_H_

#include <optional>

#include "cowslipmast/desk.h"

namespace cowslipmast {

/** How many more requests a target may get now. */
Slots FreeSlotsOf(const DeskState& state,
                  const DeskTarget& target,
                  TimePoint now);

/** Slots of the owned targets of a service, in use or not. */
Slots OwnedSlots(const DeskState& state, const DeskService& service);

/** Of two random targets with a free slot, the one with the fewest requests
 * in flight. */
std::optional<TargetId> PickTarget(const DeskState& state,
                                   DeskStep& step,
                                   const DeskService& service);

/** Takes a slot for a call. */
void TakeSlot(DeskState& state, DeskStep& step, DeskCall& call, TargetId id);

/** Gives the slot of a call back; drops the target if it is gone. */
void ReturnSlot(DeskState& state, const DeskCall& call);

/** Ends the back-off of a target. */
void NoteAnswer(DeskState& state, TimePoint now, const DeskCall& call);

/** Starts or doubles the back-off of a target. */
void NoteFailure(DeskState& state, DeskStep& step, const DeskCall& call);

/** Counts as a failure if the target was mute since the call began. */
void NoteMissedDeadline(DeskState& state, DeskStep& step, const DeskCall& call);

/** The target answered that it is leaving. */
void NoteLeaving(DeskState& state, TimePoint now, const DeskCall& call);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_DESK_TARGETS_H_
