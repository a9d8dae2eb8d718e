#ifndef COWSLIPMAST_SRC_PLACEMENT_QUOTA_H_
#define COWSLIPMAST_SRC_PLACEMENT_QUOTA_H_

#include <map>

#include "cowslipmast/placement.h"

namespace cowslipmast {

/** Returns each team's share of its quota in this data centre. An owner sees
 * the usage of its own data centre only, so quotas are split between data
 * centres in proportion to capacity. */
std::map<TeamId, Resources> LocalQuotas(const PlacementState& placement,
                                        const PlacementView& view);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_PLACEMENT_QUOTA_H_
