#ifndef COWSLIPMAST_SRC_FOLD_MEMBERS_VIEW_H_
#define COWSLIPMAST_SRC_FOLD_MEMBERS_VIEW_H_

#include <functional>
#include <map>
#include <set>

#include "cowslipmast/ownership.h"

namespace cowslipmast {

/** Age of the latest heartbeat from which a member counts as not alive. */
inline constexpr Duration kAliveLimit = std::chrono::milliseconds(1500);
/** Absence from the VM list after which a member is removed. */
inline constexpr Duration kMissingLimit = std::chrono::seconds(10);

/** What one process makes of the members of its region and role. */
struct MembersView {
  const MemberTable* table = nullptr;  // null if there is none
  bool self_is_member = false;
  std::map<ProcessId, const PeerReport*> reports;
  std::set<ProcessId> alive;      // with this process
  std::set<ProcessId> available;  // alive and not draining
  std::set<ProcessId> gone;       // cannot act any more
};

/** Updates what `memory` holds about the members and returns the view. */
MembersView ViewMembers(const ControlState& state,
                        const OwnershipView& view,
                        OwnershipMemory& memory);

/** True if the member cannot be expected to act or answer. */
bool IsLost(const MembersView& members,
            const OwnershipView& view,
            const OwnershipMemory& memory,
            const ProcessId& process);

/** True if `counts` holds for a majority of the members both before and after
 * the latest change. Members that cannot act are counted in. */
bool HasMajority(const MembersView& members,
                 const std::function<bool(const ProcessId&)>& counts);

/** True if a majority has folded the entry at `offset`. */
bool MajorityFolded(const MembersView& members,
                    const ControlState& state,
                    const OwnershipView& view,
                    LogOffset offset);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_FOLD_MEMBERS_VIEW_H_
