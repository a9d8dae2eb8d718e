#include <type_traits>
#include <variant>

#include "src/placement/lifecycle.h"
#include "src/placement/places.h"
#include "src/placement/quarantine.h"
#include "src/placement/steps.h"

namespace cowslipmast {

namespace {

struct ReplyContext {
  Placement& placement;
  const PlacementView& view;
  const WorkerCommand& command;
  const WorkerReply& reply;
  WorkerView& worker;
};

bool IsUnanswered(const WorkerReply& reply) {
  return reply.kind == WorkerReplyKind::kNotSent ||
         reply.kind == WorkerReplyKind::kLost;
}

void Apply(const FenceCommand&, const ReplyContext& context) {
  context.worker.fence_in_flight = false;
  context.worker.fenced = context.reply.kind == WorkerReplyKind::kOk;
  context.worker.next_contact =
      context.view.now +
      (context.worker.fenced ? Duration(0) : Duration(kListInterval));
}

void Apply(const ListCommand&, const ReplyContext& context) {
  context.worker.list_in_flight = false;
  if (context.reply.report && context.worker.fenced)
    ApplyReport(context.placement, context.view, context.command.sent_at,
                *context.reply.report, context.worker);
}

TaskPlace* FindStart(const StartCommand& start, const ReplyContext& context) {
  const auto found = context.placement.places.find(start.task);
  if (found == context.placement.places.end())
    return nullptr;
  TaskPlace& place = found->second;
  const bool same = place.attempt == start.attempt &&
                    place.worker == context.worker.id &&
                    place.phase == TaskPhase::kStarting;
  return same ? &place : nullptr;
}

void NoteStartDelay(const StartCommand& start, const ReplyContext& context) {
  const JobView& job = context.placement.jobs[start.task.job];
  if (job.fresh && start.attempt == Attempt(1))
    context.placement.start_delays.push_back(context.view.now - job.seen_at);
}

void ApplyRefusedStart(const StartCommand& start,
                       const ReplyContext& context,
                       TaskPlace& place) {
  ++context.placement.counters.starts_refused;
  context.worker.list_before_start = true;
  context.worker.next_contact = context.view.now;
  if (context.reply.refusal == WorkerRefusal::kAlreadyHere) {
    // An earlier copy of the command may have taken effect.
    StepLease(*context.placement.charts, LeaseEvent::kReplyLost, place.lease);
    return;
  }
  if (context.reply.refusal == WorkerRefusal::kBadRequest)
    NoteStartError(context.worker);
  StepLease(*context.placement.charts, LeaseEvent::kRefused, place.lease);
  UndoPlace(context.placement, start.task);
}

void Apply(const StartCommand& start, const ReplyContext& context) {
  TaskPlace* place = FindStart(start, context);
  if (!place)
    return;
  switch (context.reply.kind) {
    case WorkerReplyKind::kOk:
      StepTask(*context.placement.charts, TaskEvent::kStarted, place->phase);
      StepLease(*context.placement.charts, LeaseEvent::kGranted, place->lease);
      place->known_since = context.view.now;
      ++context.placement.counters.starts;
      NoteStartDelay(start, context);
      return;
    case WorkerReplyKind::kRefused:
      ApplyRefusedStart(start, context, *place);
      return;
    case WorkerReplyKind::kNotSent:
      StepLease(*context.placement.charts, LeaseEvent::kRefused, place->lease);
      UndoPlace(context.placement, start.task);
      return;
    case WorkerReplyKind::kLost:
      ++context.placement.counters.start_replies_lost;
      StepLease(*context.placement.charts, LeaseEvent::kReplyLost,
                place->lease);
      return;
  }
}

void Apply(const RenewCommand&, const ReplyContext& context) {
  context.worker.renew_in_flight = false;
  if (context.reply.kind != WorkerReplyKind::kOk)
    context.worker.next_renew = context.view.now;
}

// A checkpoint or a stop of a task that is not there needs a fresh list.
void ApplyToTask(const ReplyContext& context) {
  if (context.reply.kind == WorkerReplyKind::kRefused)
    context.worker.next_contact = context.view.now;
}

void Apply(const ThrottleCommand&, const ReplyContext& context) {
  ApplyToTask(context);
}

void Apply(const CheckpointCommand&, const ReplyContext& context) {
  ApplyToTask(context);
}

void Apply(const StopCommand&, const ReplyContext& context) {
  ApplyToTask(context);
}

void Apply(const AckCommand&, const ReplyContext&) {
  // A result that was not dropped is in the next list again.
}

}  // namespace

void ApplyReply(Placement& placement,
                const PlacementView& view,
                const WorkerCommand& command,
                const WorkerReply& reply) {
  const auto found = placement.workers.find(command.worker);
  if (found == placement.workers.end() || command.epoch != placement.epoch)
    return;
  WorkerView& worker = found->second;
  if (reply.kind == WorkerReplyKind::kRefused &&
      reply.refusal == WorkerRefusal::kStaleEpoch)
    placement.superseded = true;
  const ReplyContext context{placement, view, command, reply, worker};
  std::visit([&context](const auto& action) { Apply(action, context); },
             command.action);
  if (!IsUnanswered(reply))
    return;
  MarkSilent(placement, worker);
  if (!std::holds_alternative<ListCommand>(command.action) &&
      !std::holds_alternative<FenceCommand>(command.action))
    worker.next_contact = view.now;
}

}  // namespace cowslipmast
