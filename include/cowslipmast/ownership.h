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

/** How long a freshness proof, or heartbeats with a majority, permit a process
 * to act. A freshness proof is the time at which the folded state was last
 * known to include the whole log. */
inline constexpr Duration kPermitDuration = std::chrono::seconds(3);
/** Maximum age of a freshness proof at which a task may be started. */
inline constexpr Duration kMaxProofAgeForStart = std::chrono::seconds(2);

/** The latest heartbeat exchanged with a peer of the same region and role. */
struct PeerReport {
  ProcessId process;
  LogOffset folded_next;
  TimePoint asked_at;  // when this process sent its heartbeat
  bool draining = false;
};

/** Input of an ownership decision of one process. */
struct OwnershipView {
  ProcessId self;
  RegionId region;
  Role role = Role::kEntry;
  TimePoint now;
  // Freshness proof of the `control` stream, if any.
  std::optional<TimePoint> proof;
  std::vector<PeerReport> peers;
  std::set<VmId> listed_vms;  // entry VMs in the platform's list
  // Resources that need an owner in this region.
  std::set<ResourceId> resources;
  bool draining = false;
};

/** What one process remembers between ownership decisions. */
struct OwnershipMemory {
  /** By resource taken over: epoch, and when a majority was first known to have
   * folded the claim. */
  std::map<ResourceId, std::pair<Epoch, TimePoint>> majority_since;
  /** Since when a resource has had no live owner. */
  std::map<ResourceId, TimePoint> unowned_since;
  /** Since when the VM of a member has been missing from the VM list. */
  std::map<ProcessId, TimePoint> missing_since;
  /** Since when a member has been alive without interruption. */
  std::map<ProcessId, TimePoint> alive_since;
  /** Since when this process has known of a member. */
  std::map<ProcessId, TimePoint> known_since;
  /** VMs that have been in the platform's list at any time. */
  std::set<VmId> seen_vms;
  /** This process's latest claim by resource: base epoch and time. */
  std::map<ResourceId, std::pair<Epoch, TimePoint>> claimed;
  /** No hand-over before this time; set when this process claims a resource
   * although better-ranked members are available. */
  std::map<ResourceId, TimePoint> no_hand_over_until;
  /** Owned resources selected for hand-over. A release may already be on its
   * way to the log, so they stay unusable until it is folded. */
  std::map<ResourceId, Epoch> handing_over;
  /** Version of the latest membership change, and when a majority was first
   * known to have folded it. */
  std::optional<std::pair<MembershipVersion, TimePoint>> settle_since;
  /** The latest membership record that this process proposed: version and time.
   */
  std::optional<std::pair<MembershipVersion, TimePoint>> proposed;
};

struct OwnershipDecision {
  /** Records to append: claims, removals of lost members, settled memberships.
   */
  std::vector<Record> records;
  /** Owned resources on which new work may start now, with their epochs. */
  std::map<ResourceId, Epoch> usable;
  /** No new work may start on `usable` resources after this time, so that a
   * process that was paused does not act on an old decision. */
  TimePoint permit_until;
  /** Owned resources to release once no work is in progress on them. Nothing
   * else may be released: during the wait after a takeover, a release would let
   * the next owner act at the same time as the previous one. */
  std::map<ResourceId, Epoch> hand_over;
};

/** Decides what to claim, use and hand over. Call about every 200 ms. */
OwnershipDecision DecideOwnership(const ControlState& state,
                                  const OwnershipView& view,
                                  OwnershipMemory& memory);

/** Returns until when `view` permits its process to act, if at all. */
std::optional<TimePoint> PermitUntil(const ControlState& state,
                                     const OwnershipView& view);

/** Returns the rendezvous-hashing weight of a process for a resource; the live
 * member with the highest weight claims it. */
uint64_t RendezvousWeight(const ResourceId& resource, const ProcessId& process);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_OWNERSHIP_H_
