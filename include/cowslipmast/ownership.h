#ifndef COWSLIPMAST_OWNERSHIP_H_
#define COWSLIPMAST_OWNERSHIP_H_

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "cowslipmast/ids.h"
#include "cowslipmast/record.h"
#include "cowslipmast/shared_state.h"
#include "cowslipmast/units.h"

namespace cowslipmast {

/** How long a proof of freshness or a majority's heartbeat permits to act. */
inline constexpr Duration kPermitLimit = std::chrono::seconds(3);
/** Age of a proof of freshness up to which a task may be started. */
inline constexpr Duration kProofLimit = std::chrono::seconds(2);

/** Latest heartbeat exchanged with a peer of the same region and role. */
struct PeerReport {
  ProcessId process;
  LogOffset folded_next;
  TimePoint asked_at;  // when the exchange was started
  bool draining = false;
};

/** What one process knows when it decides on ownership. */
struct OwnershipView {
  ProcessId self;
  RegionId region;
  Role role = Role::kEntry;
  TimePoint now;
  std::optional<TimePoint> proof;  // when the fold was last known complete
  std::vector<PeerReport> peers;
  std::set<VmId> listed_vms;       // entry VMs in the platform's list
  std::set<ResourceId> resources;  // that should have an owner in this region
  bool draining = false;
};

/** Memory of one process between decisions. */
struct OwnershipMemory {
  /** When a majority was first seen past the claim of a taken-over resource. */
  std::map<ResourceId, std::pair<Epoch, TimePoint>> majority_since;
  /** Since when a resource lacks a live owner. */
  std::map<ResourceId, TimePoint> orphaned_since;
  /** Since when a listed VM of a member is missing from the list. */
  std::map<ProcessId, TimePoint> missing_since;
  /** Since when a member has been alive without a break. */
  std::map<ProcessId, TimePoint> alive_since;
  /** Since when a process has been known as a member. */
  std::map<ProcessId, TimePoint> known_since;
  /** VMs that were in the platform's list at some time. */
  std::set<VmId> seen_vms;
  /** Latest claim of each resource by this process: base epoch and time. */
  std::map<ResourceId, std::pair<Epoch, TimePoint>> claimed;
  /** No hand-over before this; set by a claim in place of a better rank. */
  std::map<ResourceId, TimePoint> keep_until;
  /** Owned resources that were put up for hand-over. A release may be on its
   * way, so these stay unusable until it is folded. */
  std::map<ResourceId, Epoch> handing_over;
  /** When a majority was first seen past the latest membership change. */
  std::optional<std::pair<MembershipVersion, TimePoint>> settle_since;
  /** Latest membership record that was proposed. */
  std::optional<std::pair<MembershipVersion, TimePoint>> proposed;
};

struct OwnershipDecision {
  /** To append: claims, removals of lost members, settled memberships. */
  std::vector<Record> records;
  /** Owned, with the epoch; new work may start on it now. */
  std::map<ResourceId, Epoch> usable;
  /** Nothing new may start on `usable` resources after this moment, so that a
   * process that was paused does not act on an old decision. */
  TimePoint permit_until;
  /** Owned, but to be released once no work is in progress on it. Nothing
   * else may be released: while the wait after a takeover lasts, a release
   * would let the next owner act beside the one before. */
  std::map<ResourceId, Epoch> hand_over;
};

/** Decides what to claim, use and hand over. Called every 200 ms or so. */
OwnershipDecision DecideOwnership(const ControlState& state,
                                  const OwnershipView& view,
                                  OwnershipMemory& memory);

/** The moment until which `view` permits its process to act, if any. */
std::optional<TimePoint> PermitUntil(const ControlState& state,
                                     const OwnershipView& view);

/** Rank of a process for a resource; the highest of the live ones claims it. */
uint64_t RendezvousWeight(const ResourceId& resource, const ProcessId& process);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_OWNERSHIP_H_
