#include "src/router/route.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "src/router/end_request.h"
#include "src/router/target_slots.h"

namespace cowslipmast {

namespace {

Slots ReportedFree(const RouterPeer& peer, const ServiceId& service) {
  const auto found = peer.free_slots.find(service);
  return found == peer.free_slots.end() ? Slots(0) : found->second;
}

// Picks the peer with more free slots out of two random ones. If every entry
// process picked the best peer, they would overload it.
std::optional<ProcessId> PickPeer(const RouterState& state,
                                  RouterStep& step,
                                  const ServiceId& service,
                                  bool own_region) {
  std::vector<const RouterPeer*> free;
  for (const auto& [process, peer] : state.peers) {
    if (peer.info.own_region == own_region &&
        ReportedFree(peer, service) > Slots(0))
      free.push_back(&peer);
  }
  if (free.empty())
    return std::nullopt;
  std::uniform_int_distribution<size_t> any(0, free.size() - 1);
  const RouterPeer& first = *free[any(step.random)];
  const RouterPeer& second = *free[any(step.random)];
  const bool take_first =
      ReportedFree(first, service) >= ReportedFree(second, service);
  return (take_first ? first : second).info.process;
}

void Send(RouterState& state,
          RouterStep& step,
          RequestTicket ticket,
          TargetId id) {
  RouterCall& call = state.calls.at(ticket);
  TakeSlot(state, step, call, id);
  const Endpoint& endpoint = state.targets.at(id).info.endpoint;
  step.actions.emplace_back(
      SendToTarget{ticket, std::move(id), endpoint, call.deadline - step.now});
}

void Forward(RouterState& state,
             RouterStep& step,
             RequestTicket ticket,
             ProcessId process) {
  RouterCall& call = state.calls.at(ticket);
  RouterPeer& peer = state.peers.at(process);
  peer.free_slots[call.request.service] -= Slots(1);
  ++(peer.info.own_region ? state.counters.forwards_in_region
                          : state.counters.forwards_to_other_regions);
  call.location = RequestLocation::kPeer;
  call.peer = process;
  call.sent_at = step.now;
  step.actions.emplace_back(
      ForwardToPeer{ticket, std::move(process), call.deadline - step.now});
}

// Returns false if no target of this region is in service, for example while
// its only data centre is out of service. Waiting for a slot is useless then.
bool RegionHasTargetInService(const RouterState& state,
                              const ServiceId& id,
                              const RouterService& service) {
  const bool own = std::any_of(
      service.targets.begin(), service.targets.end(), [&](const auto& target) {
        return !state.targets.at(target).info.data_centre_out;
      });
  return own ||
         std::any_of(state.peers.begin(), state.peers.end(),
                     [&](const auto& entry) {
                       const RouterPeerInfo& info = entry.second.info;
                       return info.own_region && info.free_slots.count(id) > 0;
                     });
}

// Called only while no slot is free in this region.
void ForwardToOtherRegions(RouterState& state,
                           RouterStep& step,
                           const ServiceId& id,
                           RouterService& service) {
  const Duration delay = RegionHasTargetInService(state, id, service)
                             ? state.limits.remote_forward_delay
                             : Duration(0);
  auto next = service.queue.begin();
  while (next != service.queue.end()) {
    const RequestTicket ticket = next->second;
    const TimePoint arrived = state.calls.at(ticket).arrived_at;
    if (arrived + delay > step.now) {
      ++next;
      continue;
    }
    const auto peer = PickPeer(state, step, id, false);
    if (!peer)
      return;
    next = service.queue.erase(next);
    Forward(state, step, ticket, *peer);
  }
}

size_t QueueLimit(const RouterState& state, const RouterService& service) {
  const auto twice =
      static_cast<size_t>(OwnedSlots(state, service).count() * 2);
  return std::max(twice, state.limits.min_queue_limit);
}

bool AnyPeerServes(const RouterState& state, const ServiceId& service) {
  return std::any_of(state.peers.begin(), state.peers.end(),
                     [&](const auto& entry) {
                       return entry.second.info.free_slots.count(service) > 0;
                     });
}

// Returns why the request cannot be served by waiting in the queue, or kNone.
RefusalReason FindReasonNotToQueue(const RouterState& state,
                                   const ServiceId& id) {
  const auto found = state.services.find(id);
  bool any_target = false;
  if (found != state.services.end()) {
    for (const TargetId& target_id : found->second.targets) {
      const RouterTarget& target = state.targets.at(target_id);
      any_target = any_target || target.listed;
      if (target.listed && !target.info.data_centre_out)
        return RefusalReason::kNone;
    }
  }
  if (AnyPeerServes(state, id))
    return RefusalReason::kNone;
  return any_target ? RefusalReason::kDataCentreOut : RefusalReason::kNoTarget;
}

}  // namespace

bool TrySend(RouterState& state, RouterStep& step, RequestTicket ticket) {
  const RouterCall& call = state.calls.at(ticket);
  const ServiceId& service = call.request.service;
  auto target = PickTarget(state, step, state.services[service]);
  if (target) {
    Send(state, step, ticket, *std::move(target));
    return true;
  }
  if (call.origin == RequestOrigin::kPeer)
    return false;
  auto peer = PickPeer(state, step, service, true);
  if (!peer)
    return false;
  Forward(state, step, ticket, *std::move(peer));
  return true;
}

void Route(RouterState& state, RouterStep& step, RequestTicket ticket) {
  RouterCall& call = state.calls.at(ticket);
  const ServiceId service_id = call.request.service;
  if (call.origin == RequestOrigin::kPeer) {
    if (!TrySend(state, step, ticket))
      Refuse(state, step, ticket,
             call.last_failure == RefusalReason::kNone
                 ? RefusalReason::kNoFreeSlot
                 : call.last_failure);
    return;
  }
  const RefusalReason refusal = FindReasonNotToQueue(state, service_id);
  if (refusal != RefusalReason::kNone) {
    Refuse(state, step, ticket, refusal);
    return;
  }
  RouterService& service = state.services[service_id];
  call.location = RequestLocation::kQueue;
  service.queue.insert({call.deadline, ticket});
  SendQueued(state, step, service_id);
  if (call.location == RequestLocation::kQueue &&
      service.queue.size() > QueueLimit(state, service))
    Refuse(state, step, ticket, RefusalReason::kQueueFull);
}

void SendQueued(RouterState& state,
                RouterStep& step,
                const ServiceId& service_id) {
  const auto found = state.services.find(service_id);
  if (found == state.services.end())
    return;
  RouterService& service = found->second;
  while (!service.queue.empty()) {
    const RequestTicket ticket = service.queue.begin()->second;
    if (!TrySend(state, step, ticket)) {
      ForwardToOtherRegions(state, step, service_id, service);
      return;
    }
    service.queue.erase(service.queue.begin());
  }
}

void SendAllQueued(RouterState& state, RouterStep& step) {
  for (auto& [id, service] : state.services) {
    if (!service.queue.empty())
      SendQueued(state, step, id);
  }
}

}  // namespace cowslipmast
