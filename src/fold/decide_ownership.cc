#include "cowslipmast/ownership.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cstddef>
#include <functional>
#include <iterator>
#include <string>
#include <utility>
#include <variant>

#include "src/fold/decide_membership.h"
#include "src/fold/membership_view.h"

namespace cowslipmast {

namespace {

/** Wait after a majority has folded a takeover: the longest permission of the
 * previous owner, plus a margin for the time between check and action. */
constexpr Duration kTakeoverWait =
    kPermitDuration + std::chrono::milliseconds(200);
/** How long a better-ranked member has to be alive before a resource is handed
 * over to it. */
constexpr Duration kMinAliveTimeForHandOver = std::chrono::seconds(5);
/** No hand-over for this time after a claim that better-ranked members did not
 * make. Otherwise the resource would be handed straight back to a member that
 * does not claim it. */
constexpr Duration kNoHandOverDuration = std::chrono::seconds(60);
/** Keeps a batch of claims far below the log store's limit of 1 MiB. */
constexpr size_t kMaxClaimsPerDecision = 256;
/** At most one in this many owned resources is handed over at a time, because
 * they take no new work meanwhile. */
constexpr size_t kHandOverDivisor = 8;

// Counts the processes that rank above this one for a resource.
size_t CountBetter(const std::set<ProcessId>& processes,
                   const ResourceId& resource,
                   const ProcessId& self) {
  const auto own = std::make_pair(RendezvousWeight(resource, self), self);
  return std::count_if(
      processes.begin(), processes.end(), [&](const ProcessId& process) {
        return std::make_pair(RendezvousWeight(resource, process), process) >
               own;
      });
}

bool HasLiveOwner(const ControlState& state,
                  const OwnershipView& view,
                  const OwnershipMemory& memory,
                  const MembershipView& members,
                  const ResourceId& resource) {
  const auto it = state.ownership.find(resource);
  return it != state.ownership.end() && it->second.owner &&
         !IsLost(members, view, memory, *it->second.owner);
}

void UpdateUnownedResources(const ControlState& state,
                            const OwnershipView& view,
                            const MembershipView& members,
                            OwnershipMemory& memory) {
  std::map<ResourceId, TimePoint> unowned;
  for (const ResourceId& resource : view.resources) {
    if (HasLiveOwner(state, view, memory, members, resource))
      continue;
    const auto it = memory.unowned_since.find(resource);
    unowned[resource] =
        it == memory.unowned_since.end() ? view.now : it->second;
  }
  memory.unowned_since = std::move(unowned);
}

bool WasJustClaimed(const OwnershipMemory& memory,
                    const OwnershipView& view,
                    const ResourceId& resource,
                    Epoch base_epoch) {
  const auto it = memory.claimed.find(resource);
  return it != memory.claimed.end() && it->second.first == base_epoch &&
         view.now - it->second.second < kProposalRetryDelay;
}

void DecideClaims(const ControlState& state,
                  const OwnershipView& view,
                  const MembershipView& members,
                  OwnershipMemory& memory,
                  std::vector<Record>& records) {
  if (!members.self_is_member || view.draining)
    return;
  // Without a majority a takeover could not be completed; it would only take
  // the resource away from an owner that others may still reach.
  const bool may_take_over = HasMajority(
      members, [&](const ProcessId& p) { return members.alive.count(p) > 0; });
  size_t claims = 0;
  for (const auto& [resource, since] : memory.unowned_since) {
    const auto it = state.ownership.find(resource);
    const bool owned = it != state.ownership.end() && it->second.owner;
    const Epoch epoch =
        it == state.ownership.end() ? Epoch() : it->second.epoch;
    const size_t rank = CountBetter(members.available, resource, view.self);
    if ((owned && !may_take_over) ||
        view.now - since < static_cast<int64_t>(rank) * kDelayPerRank ||
        WasJustClaimed(memory, view, resource, epoch))
      continue;
    if (claims++ == kMaxClaimsPerDecision)
      return;
    memory.claimed[resource] = {epoch, view.now};
    if (rank > 0)
      memory.no_hand_over_until[resource] = view.now + kNoHandOverDuration;
    records.push_back(Claim{resource, view.self, epoch});
  }
}

// Returns true once no previous owner can act on the resource any more.
bool IsTakeoverComplete(const ControlState& state,
                        const OwnershipView& view,
                        const MembershipView& members,
                        const ResourceId& resource,
                        const Ownership& ownership,
                        OwnershipMemory& memory) {
  if (!ownership.taken_over)
    return true;
  const auto it = memory.majority_since.find(resource);
  if (it != memory.majority_since.end() && it->second.first == ownership.epoch)
    return view.now - it->second.second >= kTakeoverWait;
  if (MajorityFolded(members, state, view, ownership.since))
    memory.majority_since[resource] = {ownership.epoch, view.now};
  return false;
}

std::set<ProcessId> FindStableMembers(const OwnershipView& view,
                                      const MembershipView& members,
                                      const OwnershipMemory& memory) {
  std::set<ProcessId> stable;
  for (const ProcessId& process : members.available) {
    const auto it = memory.alive_since.find(process);
    if (it != memory.alive_since.end() &&
        view.now - it->second >= kMinAliveTimeForHandOver)
      stable.insert(process);
  }
  return stable;
}

// A release has to reach the log. While the log cannot be read, the owner keeps
// serving.
bool HasRecentProof(const OwnershipView& view) {
  return view.proof && view.now - *view.proof < kMaxProofAgeForStart;
}

bool IsHandOverBlocked(const OwnershipMemory& memory,
                       const OwnershipView& view,
                       const ResourceId& resource) {
  const auto blocked = memory.no_hand_over_until.find(resource);
  return blocked != memory.no_hand_over_until.end() &&
         view.now < blocked->second;
}

// Returns owned resources whose takeover, if any, is complete.
std::map<ResourceId, Epoch> FindHeld(const ControlState& state,
                                     const OwnershipView& view,
                                     const MembershipView& members,
                                     OwnershipMemory& memory) {
  std::map<ResourceId, Epoch> held;
  for (const auto& [resource, ownership] : state.ownership) {
    if (ownership.owner == view.self &&
        IsTakeoverComplete(state, view, members, resource, ownership, memory))
      held[resource] = ownership.epoch;
  }
  return held;
}

// Updates `memory.handing_over`: removes resources that were released or lost,
// adds resources to hand over.
void DecideHandOver(const OwnershipView& view,
                    const MembershipView& members,
                    const std::map<ResourceId, Epoch>& held,
                    OwnershipMemory& memory) {
  std::map<ResourceId, Epoch>& to_release = memory.handing_over;
  for (auto it = to_release.begin(); it != to_release.end();) {
    const auto found = held.find(it->first);
    const bool stays = found != held.end() && found->second == it->second;
    it = stays ? std::next(it) : to_release.erase(it);
  }
  const std::set<ProcessId> stable =
      HasRecentProof(view) ? FindStableMembers(view, members, memory)
                           : std::set<ProcessId>{};
  const size_t limit = std::max<size_t>(1, held.size() / kHandOverDivisor);
  for (const auto& [resource, epoch] : held) {
    const bool unwanted = view.draining || view.resources.count(resource) == 0;
    const bool better_placed = to_release.size() < limit &&
                               !IsHandOverBlocked(memory, view, resource) &&
                               CountBetter(stable, resource, view.self) > 0;
    if (unwanted || better_placed)
      to_release[resource] = epoch;
  }
}

void DecideUse(const ControlState& state,
               const OwnershipView& view,
               const MembershipView& members,
               OwnershipMemory& memory,
               OwnershipDecision& decision) {
  const auto permit = PermitUntil(state, view);
  const bool permitted = permit && *permit > view.now;
  const auto held = FindHeld(state, view, members, memory);
  DecideHandOver(view, members, held, memory);
  decision.hand_over = memory.handing_over;
  if (!permitted)
    return;
  decision.permit_until = *permit;
  for (const auto& [resource, epoch] : held) {
    if (decision.hand_over.count(resource) == 0)
      decision.usable[resource] = epoch;
  }
}

}  // namespace

OwnershipDecision DecideOwnership(const ControlState& state,
                                  const OwnershipView& view,
                                  OwnershipMemory& memory) {
  OwnershipDecision decision;
  const MembershipView members = UpdateMembershipView(state, view, memory);
  DecideMembership(members, state, view, memory, decision.records);
  UpdateUnownedResources(state, view, members, memory);
  DecideClaims(state, view, members, memory, decision.records);
  DecideUse(state, view, members, memory, decision);
  return decision;
}

std::optional<TimePoint> PermitUntil(const ControlState& state,
                                     const OwnershipView& view) {
  std::optional<TimePoint> since = view.proof;
  const auto it = state.members.find({view.region, view.role});
  if (it != state.members.end() && it->second.members.count(view.self) > 0) {
    const auto& table = it->second.members;
    std::map<ProcessId, TimePoint> latest;
    for (const PeerReport& report : view.peers) {
      if (report.process != view.self && table.count(report.process) > 0 &&
          report.folded_next <= state.next)
        latest[report.process] = report.asked_at;
    }
    std::vector<TimePoint> asked = {view.now};  // this process itself
    for (const auto& [process, asked_at] : latest)
      asked.push_back(asked_at);
    // Permission counts from the oldest heartbeat of the most recent majority.
    const size_t others = table.size() / 2;
    std::sort(asked.begin(), asked.end(), std::greater<>());
    if (asked.size() > others && (!since || asked[others] > *since))
      since = asked[others];
  }
  if (!since)
    return std::nullopt;
  return *since + kPermitDuration;
}

uint64_t RendezvousWeight(const ResourceId& resource,
                          const ProcessId& process) {
  const std::string& name = std::visit(
      [](const auto& id) -> const std::string& { return id.value(); },
      resource);
  std::string key = std::to_string(resource.index());
  key += name;
  key += '\0';
  key += process.value();
  return XXH3_64bits(key.data(), key.size());
}

}  // namespace cowslipmast
