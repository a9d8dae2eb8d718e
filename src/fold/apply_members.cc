#include <algorithm>
#include <utility>

#include "src/fold/apply.h"

namespace cowslipmast {

namespace {

using Members = std::map<ProcessId, Member>;

Members::iterator FindVm(Members& members, const VmId& vm) {
  return std::find_if(members.begin(), members.end(),
                      [&](const auto& entry) { return entry.second.vm == vm; });
}

void ReplaceIncarnation(Members& members, const Member& member) {
  const auto earlier = FindVm(members, member.vm);
  if (earlier == members.end())
    return;
  members.erase(earlier);
  members[member.process] = member;
}

// A new incarnation takes the vote of the previous one, which cannot act any
// more. Majorities stay the same, so the table need not be settled. If it had
// to be, a process that crashed right after its Join could not join again.
void ApplyReplacement(MemberTable& table, const Member& member) {
  const bool settled = table.settled == table.version;
  ReplaceIncarnation(table.members, member);
  ReplaceIncarnation(table.previous, member);
  table.version = table.version.Next();
  if (settled)
    table.settled = table.version;
}

void BeginChange(MemberTable& table, LogOffset offset) {
  table.previous = table.members;
  table.version = table.version.Next();
  table.changed_at = offset;
}

}  // namespace

bool ApplyJoin(ControlState& state, LogOffset offset, const Join& record) {
  const Member& member = record.member;
  if (member.process.empty() || member.vm.empty() || member.region.empty())
    return false;
  const auto key = std::make_pair(member.region, member.role);
  const auto it = state.members.find(key);
  MemberTable table = it == state.members.end() ? MemberTable{} : it->second;
  if (record.base_version != table.version ||
      table.members.count(member.process) > 0)
    return false;
  if (FindVm(table.members, member.vm) != table.members.end()) {
    ApplyReplacement(table, member);
  } else {
    if (table.settled != table.version)
      return false;
    BeginChange(table, offset);
    table.members[member.process] = member;
  }
  state.members[key] = std::move(table);
  return true;
}

bool ApplyLeave(ControlState& state, LogOffset offset, const Leave& record) {
  const auto it = state.members.find({record.region, record.role});
  if (it == state.members.end())
    return false;
  MemberTable& table = it->second;
  if (record.base_version != table.version || table.settled != table.version ||
      table.members.count(record.process) == 0)
    return false;
  BeginChange(table, offset);
  table.members.erase(record.process);
  // No member is left that could settle the change or needs to see it.
  if (table.members.empty()) {
    table.settled = table.version;
    table.previous.clear();
  }
  return true;
}

bool ApplySettled(ControlState& state, const MembersSettled& record) {
  const auto it = state.members.find({record.region, record.role});
  if (it == state.members.end())
    return false;
  MemberTable& table = it->second;
  if (record.version != table.version || table.settled == table.version)
    return false;
  table.settled = table.version;
  table.previous = table.members;
  return true;
}

}  // namespace cowslipmast
