#ifndef COWSLIPMAST_SRC_FOLD_MEMBERSHIP_VIEW_H_
#define COWSLIPMAST_SRC_FOLD_MEMBERSHIP_VIEW_H_

#include <functional>
#include <map>
#include <set>

#include "cowslipmast/ownership.h"

namespace cowslipmast {

/** A member counts as not alive if its latest heartbeat is older than this. */
inline constexpr Duration kHeartbeatTimeout = std::chrono::milliseconds(1500);
/** A member whose VM is missing from the VM list for this long is removed. */
inline constexpr Duration kMissingVmTimeout = std::chrono::seconds(10);

/** What one process knows about the members of its region and role. */
struct MembershipView {
  const MemberTable* table = nullptr;  // null if there are no members
  bool self_is_member = false;
  std::map<ProcessId, const PeerReport*> reports;
  std::set<ProcessId> alive;      // alive members, including this process
  std::set<ProcessId> available;  // alive members that are not draining
  std::set<ProcessId> gone;       // members that cannot act any more
};

/** Updates the member times in `memory` and returns the view. */
MembershipView UpdateMembershipView(const ControlState& state,
                                    const OwnershipView& view,
                                    OwnershipMemory& memory);

/** Returns true if the process is not expected to act or answer any more. */
bool IsLost(const MembershipView& members,
            const OwnershipView& view,
            const OwnershipMemory& memory,
            const ProcessId& process);

/** Returns true if `counts` holds for a majority of the members both before and
 * after the latest change. Members that cannot act any more count as if it
 * held. */
bool HasMajority(const MembershipView& members,
                 const std::function<bool(const ProcessId&)>& counts);

/** Returns true if a majority has folded the entry at `offset`. */
bool MajorityFolded(const MembershipView& members,
                    const ControlState& state,
                    const OwnershipView& view,
                    LogOffset offset);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_FOLD_MEMBERSHIP_VIEW_H_
