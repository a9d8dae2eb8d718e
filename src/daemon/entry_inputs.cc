#include "src/daemon/entry_inputs.h"

#include <algorithm>
#include <string>
#include <utility>

#include "src/core/strings.h"
#include "src/daemon/role.h"
#include "src/net/http_message.h"

namespace cowslipmast {

namespace {

bool IsTargetOf(const VmInfo& vm, const RegionId& region) {
  return vm.kind == VmKind::kTarget && vm.region == region;
}

bool IsOutOfService(const Config& config, const DataCentreId& id) {
  const auto found = config.data_centres.find(id);
  return found == config.data_centres.end() ||
         found->second.availability == DataCentreAvailability::kOutOfService;
}

// The service is the first segment of the path.
ServiceId ServiceFromPath(std::string_view path) {
  const std::string_view plain = PathWithoutQuery(path);
  if (plain.empty() || plain.front() != '/')
    return ServiceId();
  return ServiceId(std::string(Split(plain.substr(1), '/').front()));
}

Duration DefaultDeadline(const Config& config, const ServiceId& service) {
  const auto found = config.services.find(service);
  const bool known =
      found != config.services.end() && found->second.deadline > Duration(0);
  return known ? std::min(found->second.deadline, kMaxDeadline) : kMaxDeadline;
}

}  // namespace

std::vector<RouterTargetInfo> FindTargets(const std::vector<VmInfo>& vms,
                                          const ControlState& control,
                                          const RegionId& region) {
  std::vector<RouterTargetInfo> targets;
  for (const VmInfo& vm : vms) {
    const auto service = control.config.services.find(vm.service);
    if (!IsTargetOf(vm, region) || service == control.config.services.end())
      continue;
    RouterTargetInfo target;
    target.id = TargetId(vm.id.value());
    target.service = vm.service;
    target.slots = std::min(vm.slots, service->second.slots);
    target.endpoint = vm.endpoint;
    target.leaving =
        vm.state == VmListState::kLeaving || control.vm_states.count(vm.id) > 0;
    target.data_centre_out = IsOutOfService(control.config, vm.data_centre);
    targets.push_back(std::move(target));
  }
  return targets;
}

std::set<ResourceId> FindTargetResources(const std::vector<VmInfo>& vms,
                                         const RegionId& region) {
  std::set<ResourceId> resources;
  for (const VmInfo& vm : vms) {
    if (IsTargetOf(vm, region))
      resources.insert(TargetId(vm.id.value()));
  }
  return resources;
}

std::set<ServiceId> FindServices(const Config& config) {
  std::set<ServiceId> services;
  for (const auto& [id, service] : config.services)
    services.insert(id);
  return services;
}

std::set<TargetId> FindUsableTargets(const OwnershipDecision& decision) {
  std::set<TargetId> targets;
  for (const auto& [resource, epoch] : decision.usable) {
    if (const auto* target = std::get_if<TargetId>(&resource))
      targets.insert(*target);
  }
  return targets;
}

std::vector<RouterPeerInfo> FindPeers(const std::vector<PeerView>& peers,
                                      const RegionId& region) {
  std::vector<RouterPeerInfo> found;
  for (const PeerView& peer : peers) {
    if (peer.member.role != Role::kEntry || peer.link != PeerLink::kUp ||
        !peer.last || peer.last->draining)
      continue;
    found.push_back(RouterPeerInfo{.process = peer.member.process,
                                   .own_region = peer.member.region == region,
                                   .free_slots = peer.last->free_slots,
                                   .reported_at = ToTimePoint(peer.asked_at)});
  }
  return found;
}

RouterRequest MakeRouterRequest(HttpRequest request,
                                const CallerHeaders& headers,
                                const Config& config,
                                const RequestId& generated) {
  RouterRequest routed;
  routed.id = headers.id ? *headers.id : generated;
  routed.service = ServiceFromPath(request.path);
  routed.idempotent = headers.idempotent;
  routed.resend = headers.resend;
  routed.remaining = headers.deadline ? *headers.deadline
                                      : DefaultDeadline(config, routed.service);
  routed.method = std::move(request.method);
  routed.path = std::move(request.path);
  routed.headers = WithoutCallerHeaders(std::move(request.headers));
  routed.body = std::move(request.body);
  return routed;
}

}  // namespace cowslipmast
