#include <type_traits>
#include <variant>

#include "src/placement/assignments.h"
#include "src/placement/decision_steps.h"
#include "src/placement/quarantine.h"
#include "src/placement/task_lifecycle.h"

namespace cowslipmast {

namespace {

struct ReplyContext {
  PlacementState& placement;
  const PlacementView& view;
  const WorkerCommand& command;
  const WorkerReply& reply;
  TrackedWorker& worker;
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
      (context.worker.fenced ? Duration(0) : Duration(kWorkerListInterval));
}

void Apply(const ListCommand&, const ReplyContext& context) {
  context.worker.list_in_flight = false;
  if (context.reply.report && context.worker.fenced)
    ApplyReport(context.placement, context.view, context.command.sent_at,
                *context.reply.report, context.worker);
}

TaskAssignment* FindStart(const StartCommand& start,
                          const ReplyContext& context) {
  const auto found = context.placement.assignments.find(start.task);
  if (found == context.placement.assignments.end())
    return nullptr;
  TaskAssignment& assignment = found->second;
  const bool same = assignment.attempt == start.attempt &&
                    assignment.worker == context.worker.id &&
                    assignment.phase == TaskPhase::kStarting;
  return same ? &assignment : nullptr;
}

void NoteStartDelay(const StartCommand& start, const ReplyContext& context) {
  const TrackedJob& job = context.placement.jobs[start.task.job];
  if (job.placed_by_this_owner && start.attempt == Attempt(1))
    context.placement.start_delays.push_back(context.view.now - job.seen_at);
}

void ApplyRefusedStart(const StartCommand& start,
                       const ReplyContext& context,
                       TaskAssignment& assignment) {
  ++context.placement.counters.starts_refused;
  context.worker.list_before_start = true;
  context.worker.next_contact = context.view.now;
  if (context.reply.refusal == WorkerRefusal::kAlreadyHere) {
    // An earlier copy of the same command may have taken effect.
    StepLease(*context.placement.charts, LeaseEvent::kReplyLost,
              assignment.lease);
    return;
  }
  if (context.reply.refusal == WorkerRefusal::kBadRequest)
    CountStartError(context.worker);
  StepLease(*context.placement.charts, LeaseEvent::kRefused, assignment.lease);
  CancelAssignment(context.placement, start.task);
}

void Apply(const StartCommand& start, const ReplyContext& context) {
  TaskAssignment* assignment = FindStart(start, context);
  if (!assignment)
    return;
  switch (context.reply.kind) {
    case WorkerReplyKind::kOk:
      StepTask(*context.placement.charts, TaskEvent::kStarted,
               assignment->phase);
      StepLease(*context.placement.charts, LeaseEvent::kGranted,
                assignment->lease);
      assignment->confirmed_at = context.view.now;
      ++context.placement.counters.starts;
      NoteStartDelay(start, context);
      return;
    case WorkerReplyKind::kRefused:
      ApplyRefusedStart(start, context, *assignment);
      return;
    case WorkerReplyKind::kNotSent:
      StepLease(*context.placement.charts, LeaseEvent::kRefused,
                assignment->lease);
      CancelAssignment(context.placement, start.task);
      return;
    case WorkerReplyKind::kLost:
      ++context.placement.counters.start_replies_lost;
      StepLease(*context.placement.charts, LeaseEvent::kReplyLost,
                assignment->lease);
      return;
  }
}

void Apply(const RenewCommand&, const ReplyContext& context) {
  context.worker.renew_in_flight = false;
  if (context.reply.kind != WorkerReplyKind::kOk)
    context.worker.next_renew = context.view.now;
}

// If the worker refuses a command because it does not have the task, its list
// is read again.
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
  // A result that the worker did not drop is in its next list again.
}

}  // namespace

void ApplyReply(PlacementState& placement,
                const PlacementView& view,
                const WorkerCommand& command,
                const WorkerReply& reply) {
  const auto found = placement.workers.find(command.worker);
  if (found == placement.workers.end() || command.epoch != placement.epoch)
    return;
  TrackedWorker& worker = found->second;
  if (reply.kind == WorkerReplyKind::kRefused &&
      reply.refusal == WorkerRefusal::kStaleEpoch)
    placement.superseded = true;
  const ReplyContext context{placement, view, command, reply, worker};
  std::visit([&context](const auto& action) { Apply(action, context); },
             command.action);
  if (!IsUnanswered(reply))
    return;
  MarkUnreachable(placement, worker);
  if (!std::holds_alternative<ListCommand>(command.action) &&
      !std::holds_alternative<FenceCommand>(command.action))
    worker.next_contact = view.now;
}

}  // namespace cowslipmast
