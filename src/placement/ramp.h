#ifndef COWSLIPMAST_SRC_PLACEMENT_RAMP_H_
#define COWSLIPMAST_SRC_PLACEMENT_RAMP_H_

#include "cowslipmast/placement.h"

namespace cowslipmast {

/** Begins, advances and ends the ramp after a data centre's return: each
 * second a quarter of its free processors may be given to tasks. */
void UpdateRamp(const PlacementView& view, Placement& placement);

void SpendRamp(const Resources& resources, Placement& placement);

/** True if nothing more may be started before the ramp advances. */
bool IsRampSpent(const Placement& placement);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_PLACEMENT_RAMP_H_
