#ifndef COWSLIPMAST_SRC_FOLD_MEMBERSHIP_UPKEEP_H_
#define COWSLIPMAST_SRC_FOLD_MEMBERSHIP_UPKEEP_H_

#include <vector>

#include "cowslipmast/ownership.h"
#include "src/fold/members_view.h"

namespace cowslipmast {

/** Time between the attempts of two processes at the same record. */
inline constexpr Duration kRankDelay = std::chrono::seconds(1);
/** Time after which a record that had no effect is proposed again. */
inline constexpr Duration kProposeAgainAfter = std::chrono::seconds(5);

/** Adds the records that settle the latest membership change or remove a
 * member whose VM is missing. */
void DecideMembership(const MembersView& members,
                      const ControlState& state,
                      const OwnershipView& view,
                      OwnershipMemory& memory,
                      std::vector<Record>& records);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_FOLD_MEMBERSHIP_UPKEEP_H_
