#include "src/fold/membership_view.h"

#include <algorithm>
#include <cstddef>

namespace cowslipmast {

namespace {

void FindAlive(const OwnershipView& view, MembershipView& members) {
  for (const PeerReport& report : view.peers)
    members.reports[report.process] = &report;
  for (const auto& [process, member] : members.table->members) {
    if (process == view.self) {
      members.alive.insert(process);
      if (!view.draining)
        members.available.insert(process);
      continue;
    }
    const auto it = members.reports.find(process);
    if (it == members.reports.end() ||
        view.now - it->second->asked_at > kHeartbeatTimeout)
      continue;
    members.alive.insert(process);
    if (!it->second->draining)
      members.available.insert(process);
  }
}

template <typename Value>
void EraseUnless(std::map<ProcessId, Value>& map,
                 const std::function<bool(const ProcessId&)>& keep) {
  for (auto it = map.begin(); it != map.end();)
    it = keep(it->first) ? std::next(it) : map.erase(it);
}

void UpdateAliveTimes(const OwnershipView& view,
                      const MembershipView& members,
                      OwnershipMemory& memory) {
  const auto& table = members.table->members;
  EraseUnless(memory.alive_since, [&](const ProcessId& process) {
    return members.alive.count(process) > 0;
  });
  EraseUnless(memory.known_since, [&](const ProcessId& process) {
    return table.count(process) > 0;
  });
  for (const ProcessId& process : members.alive)
    memory.alive_since.emplace(process, view.now);
  for (const auto& [process, member] : table)
    memory.known_since.emplace(process, view.now);
}

// A list without this process's own VM is incomplete or not loaded yet, so a VM
// missing from it may still exist.
bool IsListUsable(const OwnershipView& view, const MembershipView& members) {
  const auto self = members.table->members.find(view.self);
  return self != members.table->members.end() &&
         view.listed_vms.count(self->second.vm) > 0;
}

void UpdateMissingTimes(const OwnershipView& view,
                        const MembershipView& members,
                        OwnershipMemory& memory) {
  memory.seen_vms.insert(view.listed_vms.begin(), view.listed_vms.end());
  const bool usable = IsListUsable(view, members);
  const auto is_missing = [&](const ProcessId& process) {
    const auto it = members.table->members.find(process);
    return usable && it != members.table->members.end() &&
           view.listed_vms.count(it->second.vm) == 0 &&
           members.alive.count(process) == 0;
  };
  EraseUnless(memory.missing_since, is_missing);
  for (const auto& [process, member] : members.table->members) {
    if (is_missing(process))
      memory.missing_since.emplace(process, view.now);
  }
}

// The list lags, so a VM that was never in it may be new.
void FindGone(const OwnershipView& view,
              const OwnershipMemory& memory,
              MembershipView& members) {
  for (const auto& [process, since] : memory.missing_since) {
    const VmId& vm = members.table->members.at(process).vm;
    if (memory.seen_vms.count(vm) > 0 || view.now - since >= kMissingVmTimeout)
      members.gone.insert(process);
  }
  // Members removed by the latest change have stopped, or their VM is gone.
  for (const auto& [process, member] : members.table->previous) {
    if (members.table->members.count(process) == 0)
      members.gone.insert(process);
  }
}

bool HasMajorityOf(const std::map<ProcessId, Member>& table,
                   const MembershipView& members,
                   const std::function<bool(const ProcessId&)>& counts) {
  if (table.empty())
    return true;
  const auto count =
      std::count_if(table.begin(), table.end(), [&](const auto& entry) {
        return members.gone.count(entry.first) > 0 || counts(entry.first);
      });
  return static_cast<size_t>(count) > table.size() / 2;
}

}  // namespace

MembershipView UpdateMembershipView(const ControlState& state,
                                    const OwnershipView& view,
                                    OwnershipMemory& memory) {
  MembershipView members;
  const auto it = state.members.find({view.region, view.role});
  if (it == state.members.end())
    return members;
  members.table = &it->second;
  members.self_is_member = it->second.members.count(view.self) > 0;
  FindAlive(view, members);
  UpdateAliveTimes(view, members, memory);
  UpdateMissingTimes(view, members, memory);
  FindGone(view, memory, members);
  return members;
}

bool IsLost(const MembershipView& members,
            const OwnershipView& view,
            const OwnershipMemory& memory,
            const ProcessId& process) {
  if (members.alive.count(process) > 0)
    return false;
  const auto known = memory.known_since.find(process);
  if (known == memory.known_since.end() || members.gone.count(process) > 0)
    return true;
  // A process that just started gets time to reach its peers.
  return view.now - known->second > kHeartbeatTimeout;
}

bool HasMajority(const MembershipView& members,
                 const std::function<bool(const ProcessId&)>& counts) {
  return members.table &&
         HasMajorityOf(members.table->members, members, counts) &&
         HasMajorityOf(members.table->previous, members, counts);
}

bool MajorityFolded(const MembershipView& members,
                    const ControlState& state,
                    const OwnershipView& view,
                    LogOffset offset) {
  return HasMajority(members, [&](const ProcessId& process) {
    if (process == view.self)
      return state.next > offset;
    const auto it = members.reports.find(process);
    return it != members.reports.end() && it->second->folded_next > offset;
  });
}

}  // namespace cowslipmast
