#include "src/placement/quota.h"

namespace cowslipmast {

namespace {

// Rounds up, so that a small quota does not become zero in every data centre.
int64_t QuotaShare(int64_t quota, int64_t here, int64_t everywhere) {
  if (everywhere <= 0)
    return quota;
  return (quota * here + everywhere - 1) / everywhere;
}

}  // namespace

std::map<TeamId, Resources> LocalQuotas(const PlacementState& placement,
                                        const PlacementView& view) {
  Resources here;
  Resources everywhere;
  for (const VmInfo& vm : view.vms) {
    if (vm.kind != VmKind::kWorker)
      continue;
    everywhere += vm.resources;
    if (vm.data_centre == placement.data_centre)
      here += vm.resources;
  }
  std::map<TeamId, Resources> quotas;
  for (const auto& [id, team] : view.control.config.teams) {
    quotas[id] = {
        MilliCores(QuotaShare(team.quota.cpu.count(), here.cpu.count(),
                              everywhere.cpu.count())),
        Mebibytes(QuotaShare(team.quota.memory.count(), here.memory.count(),
                             everywhere.memory.count())),
        Accelerators(QuotaShare(team.quota.accelerators.count(),
                                here.accelerators.count(),
                                everywhere.accelerators.count()))};
  }
  return quotas;
}

}  // namespace cowslipmast
