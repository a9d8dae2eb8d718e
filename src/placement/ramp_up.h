#ifndef COWSLIPMAST_SRC_PLACEMENT_RAMP_UP_H_
#define COWSLIPMAST_SRC_PLACEMENT_RAMP_UP_H_

#include "cowslipmast/placement.h"

namespace cowslipmast {

/** Updates the ramp-up after a data centre's return to service: tasks may be
 * started on a quarter of its free processors per second. */
void UpdateRamp(const PlacementView& view, PlacementState& placement);

void SpendRamp(const Resources& resources, PlacementState& placement);

/** Returns true if the ramp-up allows no further start for now. */
bool IsRampSpent(const PlacementState& placement);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_PLACEMENT_RAMP_UP_H_
