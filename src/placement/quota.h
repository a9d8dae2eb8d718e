#ifndef COWSLIPMAST_SRC_PLACEMENT_QUOTA_H_
#define COWSLIPMAST_SRC_PLACEMENT_QUOTA_H_

#include <map>

#include "cowslipmast/placement.h"

namespace cowslipmast {

/** Returns each team's part of its quota in the data centre. An owner sees
 * only its own data centre, so a quota is divided by capacity. */
std::map<TeamId, Resources> LocalQuotas(const Placement& placement,
                                        const PlacementView& view);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_PLACEMENT_QUOTA_H_
