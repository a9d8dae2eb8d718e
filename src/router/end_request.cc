#include "src/router/end_request.h"

#include <utility>

#include "src/router/request_id_cache.h"

namespace cowslipmast {

namespace {

bool IsRunningElsewhere(const RouterCall& call) {
  return call.location == RequestLocation::kTarget ||
         call.location == RequestLocation::kPeer;
}

void RemoveFromQueue(RouterState& state,
                     RequestTicket ticket,
                     RouterCall& call) {
  if (call.location != RequestLocation::kQueue)
    return;
  state.services.at(call.request.service).queue.erase({call.deadline, ticket});
  call.location = RequestLocation::kNowhere;
}

void EraseCall(RouterState& state,
               TimePoint now,
               RequestTicket ticket,
               const RouterCall& call,
               const RouterReply& reply) {
  if (reply.outcome == RequestOutcome::kNotRun && !call.possibly_written)
    ForgetId(state, call.request.id);
  else
    NoteEnded(state, now, call.request.id, reply);
  state.calls.erase(ticket);
}

}  // namespace

void Reply(RouterState& state,
           RouterStep& step,
           RequestTicket ticket,
           RouterReply reply) {
  RouterCall& call = state.calls.at(ticket);
  RemoveFromQueue(state, ticket, call);
  state.deadlines.erase({call.deadline, ticket});
  call.replied = true;
  const RequestOrigin origin = call.origin;
  if (!IsRunningElsewhere(call))
    EraseCall(state, step.now, ticket, call, reply);
  if (origin == RequestOrigin::kPeer)
    reply.free_slots = CountFreeSlots(state, step.now);
  step.actions.emplace_back(ReplyToCaller{ticket, std::move(reply)});
}

void Refuse(RouterState& state,
            RouterStep& step,
            RequestTicket ticket,
            RefusalReason refusal) {
  const bool possibly_written = state.calls.at(ticket).possibly_written;
  RouterReply reply;
  reply.outcome =
      possibly_written ? RequestOutcome::kUnknown : RequestOutcome::kNotRun;
  reply.refusal = refusal;
  Reply(state, step, ticket, std::move(reply));
}

void ReplyUnknown(RouterState& state,
                  RouterStep& step,
                  RequestTicket ticket,
                  RefusalReason refusal) {
  RouterReply reply;
  reply.outcome = RequestOutcome::kUnknown;
  reply.refusal = refusal;
  Reply(state, step, ticket, std::move(reply));
}

void EndRepliedCall(RouterState& state,
                    RouterStep& step,
                    RequestTicket ticket,
                    const RouterReply& reply) {
  if (reply.outcome == RequestOutcome::kAnswered)
    ++state.counters.late_answers;
  EraseCall(state, step.now, ticket, state.calls.at(ticket), reply);
}

}  // namespace cowslipmast
