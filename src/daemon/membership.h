#ifndef COWSLIPMAST_SRC_DAEMON_MEMBERSHIP_H_
#define COWSLIPMAST_SRC_DAEMON_MEMBERSHIP_H_

#include <functional>
#include <optional>
#include <vector>

#include "cowslipmast/ownership.h"
#include "cowslipmast/record.h"
#include "cowslipmast/shared_state.h"
#include "src/net/peer_set.h"

namespace cowslipmast {

/** True if the member table holds this process. */
bool IsMember(const ControlState& state, const Member& self);

/** Returns the record that adds `self`; none while a previous change of the
 * table is not settled. */
std::optional<Record> PlanJoin(const ControlState& state, const Member& self);

/** Returns the record that removes `self`; none while a previous change of
 * the table is not settled. */
std::optional<Record> PlanLeave(const ControlState& state, const Member& self);

/** Records that a process appends after a decision: its own Join, or the
 * records of the decision and a Release for each idle resource to hand over. A
 * draining process still settles membership changes; otherwise no process could
 * leave when all stop at once. */
std::vector<Record> PlanRecords(
    const ControlState& state,
    const Member& self,
    bool serving,
    const OwnershipDecision& decision,
    const std::function<bool(const ResourceId&)>& idle);

/** True if `self` owns any resource, usable or not. */
bool OwnsAnything(const ControlState& state, const ProcessId& self);

/** Peers with the same role: all of the same region and, for entry processes,
 * those of other regions, with fewer heartbeats because that traffic is
 * billed. */
std::vector<PeerSpec> ChoosePeers(const ControlState& state,
                                  const Member& self);

/** Peers to read the log from, lowest id first: the connected ones of the same
 * region with a lower id than `self`. If empty, `self` reads from the store. */
std::vector<ProcessId> ChooseLogPeers(const std::vector<PeerView>& peers,
                                      const Member& self);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_DAEMON_MEMBERSHIP_H_
