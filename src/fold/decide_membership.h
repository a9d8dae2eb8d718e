#ifndef COWSLIPMAST_SRC_FOLD_DECIDE_MEMBERSHIP_H_
#define COWSLIPMAST_SRC_FOLD_DECIDE_MEMBERSHIP_H_

#include <vector>

#include "cowslipmast/ownership.h"
#include "src/fold/membership_view.h"

namespace cowslipmast {

/** Delay added for each rank, so that processes do not write the same record at
 * the same time. */
inline constexpr Duration kDelayPerRank = std::chrono::seconds(1);
/** A record that had no effect is proposed again after this time. */
inline constexpr Duration kProposalRetryDelay = std::chrono::seconds(5);

/** Adds records that settle the latest membership change or remove a member
 * whose VM is missing. */
void DecideMembership(const MembershipView& members,
                      const ControlState& state,
                      const OwnershipView& view,
                      OwnershipMemory& memory,
                      std::vector<Record>& records);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_FOLD_DECIDE_MEMBERSHIP_H_
