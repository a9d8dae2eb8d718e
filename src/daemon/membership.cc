#include "src/daemon/membership.h"

#include <algorithm>
#include <utility>

namespace cowslipmast {

namespace {

constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(500);
constexpr Duration kRemoteHeartbeatInterval = std::chrono::seconds(2);

// Returns the table of the region and role of `self`; empty if none exists.
MemberTable OwnTable(const ControlState& state, const Member& self) {
  const auto found = state.members.find({self.region, self.role});
  return found == state.members.end() ? MemberTable{} : found->second;
}

}  // namespace

bool IsMember(const ControlState& state, const Member& self) {
  return OwnTable(state, self).members.contains(self.process);
}

std::optional<Record> PlanJoin(const ControlState& state, const Member& self) {
  const MemberTable table = OwnTable(state, self);
  if (table.members.contains(self.process) || table.settled != table.version)
    return std::nullopt;
  return Join{.member = self, .base_version = table.version};
}

std::optional<Record> PlanLeave(const ControlState& state, const Member& self) {
  const MemberTable table = OwnTable(state, self);
  if (!table.members.contains(self.process) || table.settled != table.version)
    return std::nullopt;
  return Leave{.process = self.process,
               .region = self.region,
               .role = self.role,
               .base_version = table.version};
}

std::vector<Record> PlanRecords(
    const ControlState& state,
    const Member& self,
    bool serving,
    const OwnershipDecision& decision,
    const std::function<bool(const ResourceId&)>& idle) {
  if (serving) {
    if (const auto join = PlanJoin(state, self))
      return {*join};
  }
  std::vector<Record> records = decision.records;
  for (const auto& [resource, epoch] : decision.hand_over) {
    if (idle(resource))
      records.push_back(Release{resource, epoch});
  }
  return records;
}

bool OwnsAnything(const ControlState& state, const ProcessId& self) {
  return std::any_of(
      state.ownership.begin(), state.ownership.end(),
      [&](const auto& entry) { return entry.second.owner == self; });
}

std::vector<PeerSpec> ChoosePeers(const ControlState& state,
                                  const Member& self) {
  std::vector<PeerSpec> peers;
  for (const auto& [key, table] : state.members) {
    const auto& [region, role] = key;
    const bool is_local = region == self.region;
    if (role != self.role || (!is_local && role != Role::kEntry))
      continue;
    for (const auto& [process, member] : table.members) {
      if (process == self.process)
        continue;
      peers.push_back(
          {member, is_local ? kHeartbeatInterval : kRemoteHeartbeatInterval});
    }
  }
  return peers;
}

std::vector<ProcessId> ChooseLogPeers(const std::vector<PeerView>& peers,
                                      const Member& self) {
  std::vector<ProcessId> sources;
  for (const PeerView& peer : peers) {
    const bool is_local = peer.member.region == self.region;
    if (is_local && peer.link == PeerLink::kUp &&
        peer.member.process < self.process)
      sources.push_back(peer.member.process);
  }
  return sources;
}

}  // namespace cowslipmast
