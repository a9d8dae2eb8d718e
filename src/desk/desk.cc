#include "cowslipmast/desk.h"

#include <algorithm>
#include <utility>

#include "src/desk/end_request.h"
#include "src/desk/request_id_cache.h"
#include "src/desk/route.h"
#include "src/desk/target_slots.h"

namespace cowslipmast {

namespace {

constexpr uint16_t kServiceUnavailable = 503;

// Returns the reply for a request whose id is known here or that is marked as a
// resend, or nothing if the request may run.
std::optional<DeskReply> FindPreviousReply(DeskState& state,
                                           const DeskRequest& request) {
  DeskReply reply;
  reply.outcome = DeskOutcome::kUnknown;
  const auto found = state.ids.entries.find(request.id);
  if (found == state.ids.entries.end()) {
    if (!request.resend || request.idempotent)
      return std::nullopt;
    reply.refusal = DeskRefusal::kResendNotKnown;
    return reply;
  }
  ++state.counters.duplicate_ids;
  const DeskIdEntry& entry = found->second;
  if (entry.answer && entry.fingerprint == Fingerprint(request))
    return entry.answer;
  reply.refusal = DeskRefusal::kDuplicateId;
  return reply;
}

DeskRefusal FindRefusal(const DeskState& state,
                        const DeskRequest& request,
                        DeskOrigin origin) {
  if (state.closed || (state.draining && origin == DeskOrigin::kPeer))
    return DeskRefusal::kDraining;
  if (state.known_services.empty())
    return DeskRefusal::kNoTarget;  // the configuration has not been read yet
  if (state.known_services.count(request.service) == 0)
    return DeskRefusal::kUnknownService;
  if (request.remaining <= Duration(0))
    return DeskRefusal::kDeadlinePassed;
  return DeskRefusal::kNone;
}

void EarnRetryBudget(DeskState& state) {
  state.retry_budget =
      std::min(state.retry_budget + state.limits.retries_per_request,
               state.limits.max_retry_budget);
}

bool SpendRetry(DeskState& state) {
  if (state.retry_budget < 1) {
    ++state.counters.retries_over_budget;
    return false;
  }
  state.retry_budget -= 1;
  ++state.counters.retries;
  return true;
}

// Handles a call that failed at a target or peer after it may have run.
void RetryOrReplyUnknown(DeskState& state,
                         DeskStep& step,
                         DeskTicket ticket,
                         DeskRefusal refusal) {
  DeskCall& call = state.calls.at(ticket);
  call.written = true;
  call.last_failure = refusal;
  if (call.request.idempotent && step.now < call.deadline && SpendRetry(state))
    Route(state, step, ticket);
  else
    ReplyUnknown(state, step, ticket, refusal);
}

DeskReply MakeAnswered(HttpResponse response) {
  DeskReply reply;
  reply.outcome = DeskOutcome::kAnswered;
  reply.response = std::move(response);
  return reply;
}

DeskReply MakeUnknown(DeskRefusal refusal) {
  DeskReply reply;
  reply.outcome = DeskOutcome::kUnknown;
  reply.refusal = refusal;
  return reply;
}

DeskRefusal RefusalOf(TargetFailureKind kind) {
  switch (kind) {
    case TargetFailureKind::kUnreachable:
      return DeskRefusal::kTargetUnreachable;
    case TargetFailureKind::kConnectionLost:
      return DeskRefusal::kTargetConnectionLost;
    case TargetFailureKind::kTimeout:
      return DeskRefusal::kTargetTimeout;
    case TargetFailureKind::kBadAnswer:
    case TargetFailureKind::kAnswerTooLarge:
      return DeskRefusal::kTargetBadAnswer;
  }
  return DeskRefusal::kTargetBadAnswer;
}

ServiceId EndTargetCall(DeskState& state, DeskCall& call) {
  ReturnSlot(state, call);
  call.place = DeskPlace::kNowhere;
  return call.request.service;
}

ServiceId EndPeerCall(DeskCall& call) {
  call.place = DeskPlace::kNowhere;
  return call.request.service;
}

// A peer that did not accept a request gets none until its next report.
// Otherwise the request could be sent to it over and over.
void MarkPeerFull(DeskState& state, const DeskCall& call) {
  const auto found = state.peers.find(call.peer);
  if (found != state.peers.end())
    found->second.free_slots[call.request.service] = Slots(0);
}

// Peers of another region send a heartbeat only every 2 s. Slots of requests
// that ended since the last one are counted as free again; otherwise that
// region would look full between two heartbeats.
void NoteRemoteSlotReturned(DeskPeer& peer, const DeskCall& call) {
  const ServiceId& service = call.request.service;
  const auto reported = peer.info.free_slots.find(service);
  const bool counted_by_report = peer.info.reported_at > call.sent_at;
  if (reported == peer.info.free_slots.end() || counted_by_report)
    return;
  Slots& free = peer.free_slots[service];
  free = std::min(free + Slots(1), reported->second);
}

void NotePeerReport(DeskState& state,
                    const DeskCall& call,
                    const DeskReply& reply) {
  const auto found = state.peers.find(call.peer);
  if (found == state.peers.end())
    return;
  DeskPeer& peer = found->second;
  if (!peer.info.own_region)
    NoteRemoteSlotReturned(peer, call);
  else if (!reply.free_slots.empty())
    peer.free_slots = reply.free_slots;
}

}  // namespace

DeskState MakeDeskState(const DeskLimits& limits) {
  DeskState state;
  state.limits = limits;
  return state;
}

DeskTicket AcceptRequest(DeskState& state,
                         DeskStep& step,
                         DeskRequest request,
                         DeskOrigin origin) {
  ExpireIds(state, step.now);
  ++state.counters.requests;
  EarnRetryBudget(state);
  state.last_ticket = state.last_ticket.Next();
  const DeskTicket ticket = state.last_ticket;
  if (auto earlier = FindPreviousReply(state, request)) {
    step.actions.emplace_back(ReplyToCaller{ticket, *std::move(earlier)});
    return ticket;
  }
  const DeskRefusal refusal = FindRefusal(state, request, origin);
  NoteRunning(state, request);
  DeskCall call;
  call.origin = origin;
  call.arrived_at = step.now;
  call.deadline = step.now + request.remaining;
  call.request = std::move(request);
  state.deadlines.insert({call.deadline, ticket});
  state.calls.emplace(ticket, std::move(call));
  if (refusal != DeskRefusal::kNone)
    Refuse(state, step, ticket, refusal);
  else
    Route(state, step, ticket);
  return ticket;
}

void TargetAnswered(DeskState& state,
                    DeskStep& step,
                    DeskTicket ticket,
                    HttpResponse response) {
  DeskCall& call = state.calls.at(ticket);
  const bool leaving =
      response.status == kServiceUnavailable && response.closes;
  NoteAnswer(state, step.now, call);
  if (leaving)
    NoteLeaving(state, step.now, call);
  call.written = true;
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

void TargetFailed(DeskState& state,
                  DeskStep& step,
                  DeskTicket ticket,
                  const TargetFailure& failure) {
  DeskCall& call = state.calls.at(ticket);
  const DeskRefusal refusal = RefusalOf(failure.kind);
  const bool noted = failure.kind == TargetFailureKind::kAnswerTooLarge ||
                     (failure.kind == TargetFailureKind::kTimeout &&
                      call.replied);  // the missed deadline was counted already
  if (!noted)
    NoteFailure(state, step, call);
  const ServiceId service = EndTargetCall(state, call);
  if (call.replied) {
    EndRepliedCall(state, step, ticket, MakeUnknown(refusal));
  } else if (failure.kind == TargetFailureKind::kAnswerTooLarge) {
    ReplyUnknown(state, step, ticket, refusal);
  } else if (failure.request_sent) {
    RetryOrReplyUnknown(state, step, ticket, refusal);
  } else {
    call.last_failure = refusal;
    Route(state, step, ticket);
  }
  SendQueued(state, step, service);
}

void PeerReplied(DeskState& state,
                 DeskStep& step,
                 DeskTicket ticket,
                 DeskReply reply) {
  DeskCall& call = state.calls.at(ticket);
  const ServiceId service = EndPeerCall(call);
  NotePeerReport(state, call, reply);
  if (reply.outcome == DeskOutcome::kNotRun)
    MarkPeerFull(state, call);
  if (call.replied) {
    EndRepliedCall(state, step, ticket, reply);
  } else if (reply.outcome == DeskOutcome::kNotRun) {
    Route(state, step, ticket);
  } else if (reply.outcome == DeskOutcome::kUnknown) {
    RetryOrReplyUnknown(state, step, ticket, reply.refusal);
  } else {
    reply.free_slots.clear();
    Reply(state, step, ticket, std::move(reply));
  }
  SendQueued(state, step, service);
}

void PeerFailed(DeskState& state,
                DeskStep& step,
                DeskTicket ticket,
                bool request_sent) {
  DeskCall& call = state.calls.at(ticket);
  const ServiceId service = EndPeerCall(call);
  MarkPeerFull(state, call);
  if (call.replied) {
    EndRepliedCall(state, step, ticket,
                   MakeUnknown(DeskRefusal::kPeerReplyLost));
  } else if (request_sent) {
    RetryOrReplyUnknown(state, step, ticket, DeskRefusal::kPeerReplyLost);
  } else {
    call.last_failure = DeskRefusal::kPeerUnreachable;
    Route(state, step, ticket);
  }
  SendQueued(state, step, service);
}

}  // namespace cowslipmast
