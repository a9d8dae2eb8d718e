#include <algorithm>
#include <utility>

#include "cowslipmast/router.h"
#include "src/router/end_request.h"
#include "src/router/route.h"
#include "src/router/target_slots.h"

namespace cowslipmast {

namespace {

void UnlistAll(RouterState& state) {
  for (auto& [id, target] : state.targets)
    target.listed = false;
  for (auto& [id, service] : state.services)
    service.targets.clear();
}

void DropUnlisted(RouterState& state) {
  std::erase_if(state.targets, [](const auto& entry) {
    return !entry.second.listed && entry.second.in_flight == Slots(0);
  });
  std::erase_if(state.services, [](const auto& entry) {
    return entry.second.targets.empty() && entry.second.queue.empty();
  });
}

void HandleDeadline(RouterState& state,
                    RouterStep& step,
                    RequestTicket ticket) {
  const RouterCall& call = state.calls.at(ticket);
  switch (call.location) {
    case RequestLocation::kTarget:
      NoteMissedDeadline(state, step, call);
      ReplyUnknown(state, step, ticket, RefusalReason::kTargetTimeout);
      return;
    case RequestLocation::kPeer:
      ReplyUnknown(state, step, ticket, RefusalReason::kPeerTimeout);
      return;
    case RequestLocation::kQueue:
    case RequestLocation::kNowhere:
      Refuse(state, step, ticket,
             call.last_failure == RefusalReason::kNone
                 ? RefusalReason::kDeadlinePassed
                 : call.last_failure);
      return;
  }
}

void SetEarlier(std::optional<TimePoint>& next, TimePoint now, TimePoint time) {
  if (time > now && (!next || time < *next))
    next = time;
}

}  // namespace

void SetTargets(RouterState& state,
                RouterStep& step,
                const std::set<ServiceId>& known_services,
                const std::vector<RouterTargetInfo>& targets) {
  state.known_services = known_services;
  UnlistAll(state);
  for (const RouterTargetInfo& info : targets) {
    RouterTarget& target = state.targets[info.id];
    target.info = info;
    target.listed = true;
    state.services[info.service].targets.insert(info.id);
  }
  DropUnlisted(state);
  SendAllQueued(state, step);
}

void SetUsableTargets(RouterState& state,
                      RouterStep& step,
                      const std::set<TargetId>& usable,
                      TimePoint until) {
  for (auto& [id, target] : state.targets)
    target.usable = usable.count(id) > 0;
  state.usable_until = until;
  SendAllQueued(state, step);
}

void SetPeers(RouterState& state,
              RouterStep& step,
              const std::vector<RouterPeerInfo>& peers) {
  std::map<ProcessId, RouterPeer> next;
  for (const RouterPeerInfo& info : peers) {
    const auto found = state.peers.find(info.process);
    const bool is_new = found == state.peers.end() ||
                        info.reported_at > found->second.info.reported_at;
    next.emplace(
        info.process,
        RouterPeer{info, is_new ? info.free_slots : found->second.free_slots});
  }
  state.peers = std::move(next);
  SendAllQueued(state, step);
}

void BeginDrain(RouterState& state) {
  state.draining = true;
}

bool CloseIfDrained(RouterState& state) {
  if (state.draining && state.calls.empty())
    state.closed = true;
  return state.closed;
}

void HandleTimer(RouterState& state, RouterStep& step) {
  while (!state.deadlines.empty() && state.deadlines.begin()->first <= step.now)
    HandleDeadline(state, step, state.deadlines.begin()->second);
  SendAllQueued(state, step);
}

std::optional<TimePoint> NextTimer(const RouterState& state, TimePoint now) {
  std::optional<TimePoint> next;
  if (!state.deadlines.empty())
    next = state.deadlines.begin()->first;
  for (const auto& [id, service] : state.services) {
    if (service.queue.empty())
      continue;
    for (const TargetId& target_id : service.targets) {
      const RouterTarget& target = state.targets.at(target_id);
      SetEarlier(next, now, target.retry_at);
      SetEarlier(next, now, target.leaving_until);
      SetEarlier(next, now, target.probe_until);
    }
    for (const auto& [deadline, ticket] : service.queue)
      SetEarlier(next, now,
                 state.calls.at(ticket).arrived_at +
                     state.limits.remote_forward_delay);
  }
  return next;
}

FreeSlots CountFreeSlots(const RouterState& state, TimePoint now) {
  FreeSlots free;
  if (state.draining)
    return free;
  for (const auto& [id, target] : state.targets) {
    if (target.listed && target.usable && !target.info.data_centre_out)
      free[target.info.service] += FreeSlotsOf(state, target, now);
  }
  return free;
}

bool IsIdle(const RouterState& state, const TargetId& target) {
  const auto found = state.targets.find(target);
  return found == state.targets.end() || found->second.in_flight == Slots(0);
}

}  // namespace cowslipmast
