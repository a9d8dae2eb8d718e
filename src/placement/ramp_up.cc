#include "src/placement/ramp_up.h"

#include <algorithm>

#include "src/placement/decision_steps.h"

namespace cowslipmast {

namespace {

constexpr double kRampSharePerSecond = 0.25;
// After this time 0.75^16, or 1%, of the initially free capacity is left
// unused.
constexpr Duration kRampDuration = std::chrono::seconds(16);

double FreeMilliCores(const PlacementState& placement) {
  int64_t free = 0;
  for (const auto& [id, worker] : placement.workers) {
    if (worker.in_vm_list && worker.listed_at)
      free += std::max<int64_t>(
          0, (worker.capacity.cpu - worker.reserved.cpu).count());
  }
  return static_cast<double>(free);
}

}  // namespace

void UpdateRamp(const PlacementView& view, PlacementState& placement) {
  if (!IsDataCentreInService(view.control.config, placement.data_centre)) {
    placement.was_out_of_service = true;
    placement.ramp_since.reset();
    return;
  }
  if (placement.was_out_of_service) {
    placement.was_out_of_service = false;
    placement.ramp_since = view.now;
    placement.ramp_updated = view.now;
    placement.ramp_cpu = 0;
  }
  if (!placement.ramp_since)
    return;
  if (view.now - *placement.ramp_since >= kRampDuration) {
    placement.ramp_since.reset();
    return;
  }
  const double per_second = kRampSharePerSecond * FreeMilliCores(placement);
  const double seconds =
      std::chrono::duration<double>(view.now - placement.ramp_updated).count();
  placement.ramp_updated = view.now;
  placement.ramp_cpu =
      std::min(per_second, placement.ramp_cpu + per_second * seconds);
}

void SpendRamp(const Resources& resources, PlacementState& placement) {
  if (placement.ramp_since)
    placement.ramp_cpu -= static_cast<double>(resources.cpu.count());
}

bool IsRampSpent(const PlacementState& placement) {
  return placement.ramp_since && placement.ramp_cpu <= 0;
}

}  // namespace cowslipmast
