#include "cowslipmast/router.h"

#include <algorithm>
#include <utility>

#include "src/router/end_request.h"
#include "src/router/request_id_cache.h"
#include "src/router/route.h"
#include "src/router/target_slots.h"

namespace cowslipmast {

namespace {

constexpr uint16_t kServiceUnavailable = 503;

// Returns the reply for a request whose id is known here or that is marked as a
// resend, or nothing if the request may run.
std::optional<RouterReply> FindPreviousReply(RouterState& state,
                                             const RouterRequest& request) {
  RouterReply reply;
  reply.outcome = RequestOutcome::kUnknown;
  const auto found = state.ids.entries.find(request.id);
  if (found == state.ids.entries.end()) {
    if (!request.resend || request.idempotent)
      return std::nullopt;
    reply.refusal = RefusalReason::kResendNotKnown;
    return reply;
  }
  ++state.counters.duplicate_ids;
  const RequestIdEntry& entry = found->second;
  if (entry.answer && entry.fingerprint == Fingerprint(request))
    return entry.answer;
  reply.refusal = RefusalReason::kDuplicateId;
  return reply;
}

RefusalReason FindRefusal(const RouterState& state,
                          const RouterRequest& request,
                          RequestOrigin origin) {
  if (state.closed || (state.draining && origin == RequestOrigin::kPeer))
    return RefusalReason::kDraining;
  if (state.known_services.empty())
    return RefusalReason::kNoTarget;  // the configuration has not been read yet
  if (state.known_services.count(request.service) == 0)
    return RefusalReason::kUnknownService;
  if (request.remaining <= Duration(0))
    return RefusalReason::kDeadlinePassed;
  return RefusalReason::kNone;
}

void EarnRetryBudget(RouterState& state) {
  state.retry_budget =
      std::min(state.retry_budget + state.limits.retries_per_request,
               state.limits.max_retry_budget);
}

bool SpendRetry(RouterState& state) {
  if (state.retry_budget < 1) {
    ++state.counters.retries_over_budget;
    return false;
  }
  state.retry_budget -= 1;
  ++state.counters.retries;
  return true;
}

// Handles a call that failed at a target or peer after it may have run.
void RetryOrReplyUnknown(RouterState& state,
                         RouterStep& step,
                         RequestTicket ticket,
                         RefusalReason refusal) {
  RouterCall& call = state.calls.at(ticket);
  call.possibly_written = true;
  call.last_failure = refusal;
  if (call.request.idempotent && step.now < call.deadline && SpendRetry(state))
    Route(state, step, ticket);
  else
    ReplyUnknown(state, step, ticket, refusal);
}

RouterReply MakeAnswered(HttpResponse response) {
  RouterReply reply;
  reply.outcome = RequestOutcome::kAnswered;
  reply.response = std::move(response);
  return reply;
}

RouterReply MakeUnknown(RefusalReason refusal) {
  RouterReply reply;
  reply.outcome = RequestOutcome::kUnknown;
  reply.refusal = refusal;
  return reply;
}

RefusalReason RefusalOf(TargetFailureKind kind) {
  switch (kind) {
    case TargetFailureKind::kUnreachable:
      return RefusalReason::kTargetUnreachable;
    case TargetFailureKind::kConnectionLost:
      return RefusalReason::kTargetConnectionLost;
    case TargetFailureKind::kTimeout:
      return RefusalReason::kTargetTimeout;
    case TargetFailureKind::kBadResponse:
    case TargetFailureKind::kResponseTooLarge:
      return RefusalReason::kTargetBadAnswer;
  }
  return RefusalReason::kTargetBadAnswer;
}

ServiceId EndTargetCall(RouterState& state, RouterCall& call) {
  ReturnSlot(state, call);
  call.location = RequestLocation::kNowhere;
  return call.request.service;
}

ServiceId EndPeerCall(RouterCall& call) {
  call.location = RequestLocation::kNowhere;
  return call.request.service;
}

// A peer that did not accept a request gets none until its next report.
// Otherwise the request could be sent to it over and over.
void MarkPeerFull(RouterState& state, const RouterCall& call) {
  const auto found = state.peers.find(call.peer);
  if (found != state.peers.end())
    found->second.free_slots[call.request.service] = Slots(0);
}

// Peers of another region send a heartbeat only every 2 s. Slots of requests
// that ended since the last one are counted as free again; otherwise that
// region would look full between two heartbeats.
void NoteRemoteSlotReturned(RouterPeer& peer, const RouterCall& call) {
  const ServiceId& service = call.request.service;
  const auto reported = peer.info.free_slots.find(service);
  const bool counted_by_report = peer.info.reported_at > call.sent_at;
  if (reported == peer.info.free_slots.end() || counted_by_report)
    return;
  Slots& free = peer.free_slots[service];
  free = std::min(free + Slots(1), reported->second);
}

void NotePeerReport(RouterState& state,
                    const RouterCall& call,
                    const RouterReply& reply) {
  const auto found = state.peers.find(call.peer);
  if (found == state.peers.end())
    return;
  RouterPeer& peer = found->second;
  if (!peer.info.own_region)
    NoteRemoteSlotReturned(peer, call);
  else if (!reply.free_slots.empty())
    peer.free_slots = reply.free_slots;
}

}  // namespace

RouterState MakeRouterState(const RouterLimits& limits) {
  RouterState state;
  state.limits = limits;
  return state;
}

RequestTicket AcceptRequest(RouterState& state,
                            RouterStep& step,
                            RouterRequest request,
                            RequestOrigin origin) {
  ExpireIds(state, step.now);
  ++state.counters.requests;
  EarnRetryBudget(state);
  state.last_ticket = state.last_ticket.Next();
  const RequestTicket ticket = state.last_ticket;
  if (auto earlier = FindPreviousReply(state, request)) {
    step.actions.emplace_back(ReplyToCaller{ticket, *std::move(earlier)});
    return ticket;
  }
  const RefusalReason refusal = FindRefusal(state, request, origin);
  NoteRunning(state, request);
  RouterCall call;
  call.origin = origin;
  call.arrived_at = step.now;
  call.deadline = step.now + request.remaining;
  call.request = std::move(request);
  state.deadlines.insert({call.deadline, ticket});
  state.calls.emplace(ticket, std::move(call));
  if (refusal != RefusalReason::kNone)
    Refuse(state, step, ticket, refusal);
  else
    Route(state, step, ticket);
  return ticket;
}

void TargetAnswered(RouterState& state,
                    RouterStep& step,
                    RequestTicket ticket,
                    HttpResponse response) {
  RouterCall& call = state.calls.at(ticket);
  const bool leaving =
      response.status == kServiceUnavailable && response.closes_connection;
  NoteAnswer(state, step.now, call);
  if (leaving)
    NoteLeaving(state, step.now, call);
  call.possibly_written = true;
  const ServiceId service = EndTargetCall(state, call);
  if (call.replied) {
    EndRepliedCall(state, step, ticket, MakeAnswered(std::move(response)));
  } else if (leaving && call.request.idempotent && step.now < call.deadline &&
             state.retry_budget >= 1 && TrySend(state, step, ticket)) {
    SpendRetry(state);
  } else {
    Reply(state, step, ticket, MakeAnswered(std::move(response)));
  }
  SendQueued(state, step, service);
}

void TargetFailed(RouterState& state,
                  RouterStep& step,
                  RequestTicket ticket,
                  const TargetFailure& failure) {
  RouterCall& call = state.calls.at(ticket);
  const RefusalReason refusal = RefusalOf(failure.kind);
  const bool noted = failure.kind == TargetFailureKind::kResponseTooLarge ||
                     (failure.kind == TargetFailureKind::kTimeout &&
                      call.replied);  // the missed deadline was counted already
  if (!noted)
    NoteFailure(state, step, call);
  const ServiceId service = EndTargetCall(state, call);
  if (call.replied) {
    EndRepliedCall(state, step, ticket, MakeUnknown(refusal));
  } else if (failure.kind == TargetFailureKind::kResponseTooLarge) {
    ReplyUnknown(state, step, ticket, refusal);
  } else if (failure.request_sent) {
    RetryOrReplyUnknown(state, step, ticket, refusal);
  } else {
    call.last_failure = refusal;
    Route(state, step, ticket);
  }
  SendQueued(state, step, service);
}

void PeerReplied(RouterState& state,
                 RouterStep& step,
                 RequestTicket ticket,
                 RouterReply reply) {
  RouterCall& call = state.calls.at(ticket);
  const ServiceId service = EndPeerCall(call);
  NotePeerReport(state, call, reply);
  if (reply.outcome == RequestOutcome::kNotRun)
    MarkPeerFull(state, call);
  if (call.replied) {
    EndRepliedCall(state, step, ticket, reply);
  } else if (reply.outcome == RequestOutcome::kNotRun) {
    Route(state, step, ticket);
  } else if (reply.outcome == RequestOutcome::kUnknown) {
    RetryOrReplyUnknown(state, step, ticket, reply.refusal);
  } else {
    reply.free_slots.clear();
    Reply(state, step, ticket, std::move(reply));
  }
  SendQueued(state, step, service);
}

void PeerFailed(RouterState& state,
                RouterStep& step,
                RequestTicket ticket,
                bool request_sent) {
  RouterCall& call = state.calls.at(ticket);
  const ServiceId service = EndPeerCall(call);
  MarkPeerFull(state, call);
  if (call.replied) {
    EndRepliedCall(state, step, ticket,
                   MakeUnknown(RefusalReason::kPeerReplyLost));
  } else if (request_sent) {
    RetryOrReplyUnknown(state, step, ticket, RefusalReason::kPeerReplyLost);
  } else {
    call.last_failure = RefusalReason::kPeerUnreachable;
    Route(state, step, ticket);
  }
  SendQueued(state, step, service);
}

}  // namespace cowslipmast
