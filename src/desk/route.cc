#include "src/desk/route.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "src/desk/reply.h"
#include "src/desk/targets.h"

namespace cowslipmast {

namespace {

Slots ReportedFree(const DeskPeer& peer, const ServiceId& service) {
  const auto found = peer.free_slots.find(service);
  return found == peer.free_slots.end() ? Slots(0) : found->second;
}

// Of two random peers with free slots, the one with the most; all entries
// taking the best one at once would overrun it.
std::optional<ProcessId> PickPeer(const DeskState& state,
                                  DeskStep& step,
                                  const ServiceId& service,
                                  bool own_region) {
  std::vector<const DeskPeer*> free;
  for (const auto& [process, peer] : state.peers) {
    if (peer.info.own_region == own_region &&
        ReportedFree(peer, service) > Slots(0))
      free.push_back(&peer);
  }
  if (free.empty())
    return std::nullopt;
  std::uniform_int_distribution<size_t> any(0, free.size() - 1);
  const DeskPeer& first = *free[any(step.random)];
  const DeskPeer& second = *free[any(step.random)];
  const bool take_first =
      ReportedFree(first, service) >= ReportedFree(second, service);
  return (take_first ? first : second).info.process;
}

void Send(DeskState& state, DeskStep& step, DeskTicket ticket, TargetId id) {
  DeskCall& call = state.calls.at(ticket);
  TakeSlot(state, step, call, id);
  const Endpoint& endpoint = state.targets.at(id).info.endpoint;
  step.actions.emplace_back(
      SendToTarget{ticket, std::move(id), endpoint, call.deadline - step.now});
}

void Forward(DeskState& state,
             DeskStep& step,
             DeskTicket ticket,
             ProcessId process) {
  DeskCall& call = state.calls.at(ticket);
  DeskPeer& peer = state.peers.at(process);
  peer.free_slots[call.request.service] -= Slots(1);
  ++(peer.info.own_region ? state.counters.forwards_in_region
                          : state.counters.forwards_to_other_regions);
  call.place = DeskPlace::kPeer;
  call.peer = process;
  call.sent_at = step.now;
  step.actions.emplace_back(
      ForwardToPeer{ticket, std::move(process), call.deadline - step.now});
}

// False if no target of the region is in service, such as while its only data
// centre is out; waiting for a slot there is useless then.
bool RegionServes(const DeskState& state,
                  const ServiceId& id,
                  const DeskService& service) {
  const bool own = std::any_of(
      service.targets.begin(), service.targets.end(), [&](const auto& target) {
        return !state.targets.at(target).info.data_centre_out;
      });
  return own ||
         std::any_of(state.peers.begin(), state.peers.end(),
                     [&](const auto& entry) {
                       const DeskPeerInfo& info = entry.second.info;
                       return info.own_region && info.free_slots.count(id) > 0;
                     });
}

// Called only while no slot is free in the own region.
void ServeFromOtherRegions(DeskState& state,
                           DeskStep& step,
                           const ServiceId& id,
                           DeskService& service) {
  const Duration delay = RegionServes(state, id, service)
                             ? state.limits.remote_forward_delay
                             : Duration(0);
  auto next = service.queue.begin();
  while (next != service.queue.end()) {
    const DeskTicket ticket = next->second;
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

size_t QueueLimit(const DeskState& state, const DeskService& service) {
  const auto twice =
      static_cast<size_t>(OwnedSlots(state, service).count() * 2);
  return std::max(twice, state.limits.min_queue);
}

bool AnyPeerKnows(const DeskState& state, const ServiceId& service) {
  return std::any_of(state.peers.begin(), state.peers.end(),
                     [&](const auto& entry) {
                       return entry.second.info.free_slots.count(service) > 0;
                     });
}

// Why waiting is useless, if it is.
DeskRefusal FindHopeless(const DeskState& state, const ServiceId& id) {
  const auto found = state.services.find(id);
  bool any_target = false;
  if (found != state.services.end()) {
    for (const TargetId& target_id : found->second.targets) {
      const DeskTarget& target = state.targets.at(target_id);
      any_target = any_target || target.listed;
      if (target.listed && !target.info.data_centre_out)
        return DeskRefusal::kNone;
    }
  }
  if (AnyPeerKnows(state, id))
    return DeskRefusal::kNone;
  return any_target ? DeskRefusal::kDataCentreOut : DeskRefusal::kNoTarget;
}

}  // namespace

bool SendNow(DeskState& state, DeskStep& step, DeskTicket ticket) {
  const DeskCall& call = state.calls.at(ticket);
  const ServiceId& service = call.request.service;
  auto target = PickTarget(state, step, state.services[service]);
  if (target) {
    Send(state, step, ticket, *std::move(target));
    return true;
  }
  if (call.origin == DeskOrigin::kPeer)
    return false;
  auto peer = PickPeer(state, step, service, true);
  if (!peer)
    return false;
  Forward(state, step, ticket, *std::move(peer));
  return true;
}

void Route(DeskState& state, DeskStep& step, DeskTicket ticket) {
  DeskCall& call = state.calls.at(ticket);
  const ServiceId service_id = call.request.service;
  if (call.origin == DeskOrigin::kPeer) {
    if (!SendNow(state, step, ticket))
      Refuse(state, step, ticket,
             call.last_failure == DeskRefusal::kNone ? DeskRefusal::kNoFreeSlot
                                                     : call.last_failure);
    return;
  }
  const DeskRefusal hopeless = FindHopeless(state, service_id);
  if (hopeless != DeskRefusal::kNone) {
    Refuse(state, step, ticket, hopeless);
    return;
  }
  DeskService& service = state.services[service_id];
  call.place = DeskPlace::kQueue;
  service.queue.insert({call.deadline, ticket});
  ServeQueue(state, step, service_id);
  if (call.place == DeskPlace::kQueue &&
      service.queue.size() > QueueLimit(state, service))
    Refuse(state, step, ticket, DeskRefusal::kQueueFull);
}

void ServeQueue(DeskState& state, DeskStep& step, const ServiceId& service_id) {
  const auto found = state.services.find(service_id);
  if (found == state.services.end())
    return;
  DeskService& service = found->second;
  while (!service.queue.empty()) {
    const DeskTicket ticket = service.queue.begin()->second;
    if (!SendNow(state, step, ticket)) {
      ServeFromOtherRegions(state, step, service_id, service);
      return;
    }
    service.queue.erase(service.queue.begin());
  }
}

void ServeAllQueues(DeskState& state, DeskStep& step) {
  for (auto& [id, service] : state.services) {
    if (!service.queue.empty())
      ServeQueue(state, step, id);
  }
}

}  // namespace cowslipmast
