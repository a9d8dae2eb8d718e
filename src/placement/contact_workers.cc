#include <algorithm>
#include <utility>

#include "src/placement/assignments.h"
#include "src/placement/decision_steps.h"
#include "src/placement/quarantine.h"

namespace cowslipmast {

namespace {

// The list of an unreachable worker is requested this often, so that its leases
// are renewed in time once it answers again.
constexpr Duration kUnreachableListInterval = std::chrono::milliseconds(500);

// The VM list lags: a worker used by a previous owner may be missing from it
// for a few polls of 1 s.
constexpr Duration kMaxVmListLag = std::chrono::seconds(2);

bool IsWorkerOf(const VmInfo& vm, const DataCentreId& data_centre) {
  return vm.kind == VmKind::kWorker && vm.data_centre == data_centre;
}

bool IsRemovable(const TrackedWorker& worker, TimePoint now) {
  return !worker.in_vm_list && worker.tasks.empty() &&
         worker.unexpected.empty() &&
         now > worker.lease_until + kLeaseExpiryMargin;
}

// The time that a renewal may be under way is subtracted from the lease, so
// that every lease has ended kMaxLeaseDuration after the last renewal was sent.
RenewCommand MakeRenewal(const PlacementView& view) {
  return {kMaxLeaseDuration - kRenewalValidity - kMaxClockDifference,
          view.wall_now + kRenewalValidity};
}

void Renew(PlacementState& placement,
           const PlacementView& view,
           TrackedWorker& worker,
           PlacementDecision& decision) {
  if (worker.unreachable || worker.renew_in_flight || worker.tasks.empty() ||
      view.now < worker.next_renew)
    return;
  worker.renew_in_flight = true;
  worker.next_renew = view.now + kLeaseRenewInterval;
  worker.lease_until =
      std::max(worker.lease_until, view.now + kMaxLeaseDuration);
  Send(placement, view, worker.id, MakeRenewal(view), decision);
}

void Acknowledge(PlacementState& placement,
                 const PlacementView& view,
                 TrackedWorker& worker,
                 PlacementDecision& decision) {
  if (worker.to_acknowledge.empty())
    return;
  Send(placement, view, worker.id,
       AckCommand{std::exchange(worker.to_acknowledge, {})}, decision);
}

void ListOrFence(PlacementState& placement,
                 const PlacementView& view,
                 TrackedWorker& worker,
                 PlacementDecision& decision) {
  if (worker.fence_in_flight || worker.list_in_flight ||
      view.now < worker.next_contact)
    return;
  if (!worker.fenced) {
    worker.fence_in_flight = true;
    Send(placement, view, worker.id, FenceCommand{}, decision);
    return;
  }
  worker.list_in_flight = true;
  const bool busy = !worker.tasks.empty() || !worker.unexpected.empty();
  worker.next_contact =
      view.now + (worker.unreachable ? kUnreachableListInterval
                  : busy             ? kWorkerListInterval
                                     : kIdleWorkerListInterval);
  Send(placement, view, worker.id, ListCommand{}, decision);
}

}  // namespace

void SyncWorkers(PlacementState& placement, const PlacementView& view) {
  for (auto& [id, worker] : placement.workers)
    worker.in_vm_list = false;
  for (const VmInfo& vm : view.vms) {
    if (!IsWorkerOf(vm, placement.data_centre))
      continue;
    const auto [found, added] = placement.workers.try_emplace(vm.id);
    TrackedWorker& worker = found->second;
    worker.id = vm.id;
    worker.in_vm_list = vm.state == VmListState::kLive;
    // A previous owner may have granted leases there until its epoch ended.
    if (added)
      worker.lease_until = placement.owned_since + kMaxLeaseDuration;
  }
  std::erase_if(placement.workers, [&view](const auto& item) {
    return IsRemovable(item.second, view.now);
  });
  for (auto& [id, worker] : placement.workers)
    SyncWorkerState(view, worker);
}

void ExpireLeases(PlacementState& placement, const PlacementView& view) {
  for (auto& [id, worker] : placement.workers) {
    if (!worker.unreachable ||
        view.now < worker.lease_until + kLeaseExpiryMargin)
      continue;
    const std::set<TaskId> tasks = worker.tasks;
    for (const TaskId& task : tasks)
      EndAssignment(placement, placement.assignments.at(task),
                    TaskResult::kLost, "");
    worker.unexpected.clear();
    worker.reserved = Resources();
  }
}

void UpdateAllLeasesKnown(PlacementState& placement,
                          const PlacementView& view) {
  if (placement.all_leases_known_at || view.vms.empty())
    return;
  TimePoint latest = placement.owned_since;
  bool all_listed = true;
  for (const auto& [id, worker] : placement.workers) {
    all_listed = all_listed && worker.listed_at.has_value();
    latest = std::max(latest, worker.listed_at.value_or(latest));
  }
  if (all_listed && view.now >= placement.owned_since + kMaxVmListLag)
    placement.all_leases_known_at = latest;
  else if (view.now >=
           placement.owned_since + kMaxLeaseDuration + kLeaseExpiryMargin)
    placement.all_leases_known_at = view.now;
}

void ContactWorkers(PlacementState& placement,
                    const PlacementView& view,
                    PlacementDecision& decision) {
  for (auto& [id, worker] : placement.workers) {
    ListOrFence(placement, view, worker, decision);
    if (!worker.fenced)
      continue;
    Renew(placement, view, worker, decision);
    Acknowledge(placement, view, worker, decision);
  }
}

}  // namespace cowslipmast
