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

/** The record that adds `self`, once the previous change was settled. */
std::optional<Record> PlanJoin(const ControlState& state, const Member& self);

/** The record that removes `self`, once the previous change was settled. */
std::optional<Record> PlanLeave(const ControlState& state, const Member& self);

/** What a process appends after a decision: its own joining, or the records of
 * the decision and the release of what is idle. A process that is draining goes
 * on settling memberships; otherwise none could leave when all stop at once. */
std::vector<Record> PlanRecords(
    const ControlState& state,
    const Member& self,
    bool serving,
    const OwnershipDecision& decision,
    const std::function<bool(const ResourceId&)>& idle);

/** True if `self` owns any resource, whether it may use it or not. */
bool OwnsAnything(const ControlState& state, const ProcessId& self);

/** Peers of the own role: all of the own region, and for entries those of the
 * other regions, with fewer heartbeats because the link is billed. */
std::vector<PeerSpec> ChoosePeers(const ControlState& state,
                                  const Member& self);

/** Peers that may be asked for the log, lowest id first: those of the own
 * region with a lower id. Empty if `self` reads the store for them. */
std::vector<ProcessId> LogSources(const std::vector<PeerView>& peers,
                                  const Member& self);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_DAEMON_MEMBERSHIP_H_
