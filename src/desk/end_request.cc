#include "src/desk/end_request.h"

#include <utility>

#include "src/desk/request_id_cache.h"

namespace cowslipmast {

namespace {

bool IsRunningElsewhere(const DeskCall& call) {
  return call.place == DeskPlace::kTarget || call.place == DeskPlace::kPeer;
}

void RemoveFromQueue(DeskState& state, DeskTicket ticket, DeskCall& call) {
  if (call.place != DeskPlace::kQueue)
    return;
  state.services.at(call.request.service).queue.erase({call.deadline, ticket});
  call.place = DeskPlace::kNowhere;
}

void EraseCall(DeskState& state,
               TimePoint now,
               DeskTicket ticket,
               const DeskCall& call,
               const DeskReply& reply) {
  if (reply.outcome == DeskOutcome::kNotRun && !call.written)
    ForgetId(state, call.request.id);
  else
    NoteEnded(state, now, call.request.id, reply);
  state.calls.erase(ticket);
}

}  // namespace

void Reply(DeskState& state,
           DeskStep& step,
           DeskTicket ticket,
           DeskReply reply) {
  DeskCall& call = state.calls.at(ticket);
  RemoveFromQueue(state, ticket, call);
  state.deadlines.erase({call.deadline, ticket});
  call.replied = true;
  const DeskOrigin origin = call.origin;
  if (!IsRunningElsewhere(call))
    EraseCall(state, step.now, ticket, call, reply);
  if (origin == DeskOrigin::kPeer)
    reply.free_slots = CountFreeSlots(state, step.now);
  step.actions.emplace_back(ReplyToCaller{ticket, std::move(reply)});
}

void Refuse(DeskState& state,
            DeskStep& step,
            DeskTicket ticket,
            DeskRefusal refusal) {
  const bool written = state.calls.at(ticket).written;
  DeskReply reply;
  reply.outcome = written ? DeskOutcome::kUnknown : DeskOutcome::kNotRun;
  reply.refusal = refusal;
  Reply(state, step, ticket, std::move(reply));
}

void ReplyUnknown(DeskState& state,
                  DeskStep& step,
                  DeskTicket ticket,
                  DeskRefusal refusal) {
  DeskReply reply;
  reply.outcome = DeskOutcome::kUnknown;
  reply.refusal = refusal;
  Reply(state, step, ticket, std::move(reply));
}

void EndRepliedCall(DeskState& state,
                    DeskStep& step,
                    DeskTicket ticket,
                    const DeskReply& reply) {
  if (reply.outcome == DeskOutcome::kAnswered)
    ++state.counters.late_answers;
  EraseCall(state, step.now, ticket, state.calls.at(ticket), reply);
}

}  // namespace cowslipmast
