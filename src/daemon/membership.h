#ifndef COWSLIPMAST_SRC_DAEMON_MEMBERSHIP_H_
#define COWSLIPMAST_SRC_DAEMON_MEMBERSHIP_H_

#include <optional>
#include <vector>

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
