#include "src/fold/decide_membership.h"

#include <algorithm>
#include <iterator>

namespace cowslipmast {

namespace {

// Live members wait by rank, so that usually only one of them writes.
Duration DelayByRank(const MembershipView& members, const ProcessId& self) {
  const auto rank =
      std::distance(members.alive.begin(), members.alive.lower_bound(self));
  return rank * kDelayPerRank;
}

bool TryBeginProposal(const MemberTable& table,
                      const OwnershipView& view,
                      OwnershipMemory& memory) {
  if (memory.proposed && memory.proposed->first == table.version &&
      view.now - memory.proposed->second < kProposalRetryDelay)
    return false;
  memory.proposed = {table.version, view.now};
  return true;
}

void DecideSettled(const MembershipView& members,
                   const ControlState& state,
                   const OwnershipView& view,
                   OwnershipMemory& memory,
                   std::vector<Record>& records) {
  const MemberTable& table = *members.table;
  if (!MajorityFolded(members, state, view, table.changed_at))
    return;
  if (!memory.settle_since || memory.settle_since->first != table.version)
    memory.settle_since = {table.version, view.now};
  const Duration delay = DelayByRank(members, view.self);
  if (view.now - memory.settle_since->second < delay ||
      !TryBeginProposal(table, view, memory))
    return;
  records.push_back(MembersSettled{view.region, view.role, table.version});
}

void DecideRemoval(const MembershipView& members,
                   const OwnershipView& view,
                   OwnershipMemory& memory,
                   std::vector<Record>& records) {
  const Duration limit = kMissingVmTimeout + DelayByRank(members, view.self);
  const auto lost = std::find_if(
      memory.missing_since.begin(), memory.missing_since.end(),
      [&](const auto& entry) { return view.now - entry.second >= limit; });
  if (lost == memory.missing_since.end() ||
      !TryBeginProposal(*members.table, view, memory))
    return;
  records.push_back(
      Leave{lost->first, view.region, view.role, members.table->version});
}

}  // namespace

void DecideMembership(const MembershipView& members,
                      const ControlState& state,
                      const OwnershipView& view,
                      OwnershipMemory& memory,
                      std::vector<Record>& records) {
  if (!members.self_is_member)
    return;
  if (members.table->settled != members.table->version)
    DecideSettled(members, state, view, memory, records);
  else
    DecideRemoval(members, view, memory, records);
}

}  // namespace cowslipmast
