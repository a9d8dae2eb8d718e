#include "src/fold/membership_upkeep.h"

#include <algorithm>
#include <iterator>

namespace cowslipmast {

namespace {

// The live members take turns, so that as a rule only one of them writes.
Duration TurnDelay(const MembersView& members, const ProcessId& self) {
  const auto rank =
      std::distance(members.alive.begin(), members.alive.lower_bound(self));
  return rank * kRankDelay;
}

bool MayPropose(const MemberTable& table,
                const OwnershipView& view,
                OwnershipMemory& memory) {
  if (memory.proposed && memory.proposed->first == table.version &&
      view.now - memory.proposed->second < kProposeAgainAfter)
    return false;
  memory.proposed = {table.version, view.now};
  return true;
}

void DecideSettled(const MembersView& members,
                   const ControlState& state,
                   const OwnershipView& view,
                   OwnershipMemory& memory,
                   std::vector<Record>& records) {
  const MemberTable& table = *members.table;
  if (!MajorityFolded(members, state, view, table.changed_at))
    return;
  if (!memory.settle_since || memory.settle_since->first != table.version)
    memory.settle_since = {table.version, view.now};
  const Duration delay = TurnDelay(members, view.self);
  if (view.now - memory.settle_since->second < delay ||
      !MayPropose(table, view, memory))
    return;
  records.push_back(MembersSettled{view.region, view.role, table.version});
}

void DecideRemoval(const MembersView& members,
                   const OwnershipView& view,
                   OwnershipMemory& memory,
                   std::vector<Record>& records) {
  const Duration limit = kMissingLimit + TurnDelay(members, view.self);
  const auto lost = std::find_if(
      memory.missing_since.begin(), memory.missing_since.end(),
      [&](const auto& entry) { return view.now - entry.second >= limit; });
  if (lost == memory.missing_since.end() ||
      !MayPropose(*members.table, view, memory))
    return;
  records.push_back(
      Leave{lost->first, view.region, view.role, members.table->version});
}

}  // namespace

void DecideMembership(const MembersView& members,
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
