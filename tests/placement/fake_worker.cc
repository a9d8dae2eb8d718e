#include "tests/placement/fake_worker.h"

#include <algorithm>

namespace cowslipmast {

namespace {

WorkerReply Ok() {
  return {WorkerReplyKind::kOk, {}, {}};
}

WorkerReply Refuse(WorkerRefusal refusal) {
  return {WorkerReplyKind::kRefused, refusal, {}};
}

}  // namespace

void FakeWorker::Advance(TimePoint now) {
  const auto all = runs;
  for (const auto& [task, run] : all) {
    if (run.lease_end <= std::min(now, run.task_end))
      End(task, TaskResult::kLost, "");
    else if (run.task_end <= now)
      End(task, fails_all ? TaskResult::kFailed : TaskResult::kDone, "");
  }
}

void FakeWorker::Restart() {
  runs.clear();
  finished.clear();
  max_epoch = Epoch();
}

Resources FakeWorker::Used() const {
  Resources used;
  for (const auto& [task, run] : runs)
    used += run.lease.resources;
  return used;
}

WorkerReply FakeWorker::Handle(const WorkerCommand& command, TimePoint now) {
  if (!std::holds_alternative<ListCommand>(command.action)) {
    if (command.epoch < max_epoch)
      return Refuse(WorkerRefusal::kStaleEpoch);
    max_epoch = command.epoch;
  }
  return std::visit(
      [&](const auto& action) { return Do(action, command.epoch, now); },
      command.action);
}

WorkerReply FakeWorker::End(const TaskId& task,
                            TaskResult result,
                            std::string checkpoint) {
  const auto found = runs.find(task);
  if (found == runs.end())
    return Refuse(WorkerRefusal::kUnknownTask);
  const Attempt attempt = found->second.lease.attempt;
  finished.push_back({task, attempt, result, std::move(checkpoint)});
  ends[{task, attempt}] = finished.back();
  runs.erase(found);
  return Ok();
}

bool FakeWorker::IsLate(WallTime not_after, TimePoint now) const {
  return ToWall(now) + clock_error > not_after;
}

WorkerReply FakeWorker::Do(const FenceCommand&, Epoch, TimePoint) {
  return Ok();
}

WorkerReply FakeWorker::Do(const ListCommand&, Epoch, TimePoint now) {
  WorkerReport report{max_epoch, capacity, {}, finished};
  for (const auto& [task, run] : runs) {
    report.leases.push_back(run.lease);
    report.leases.back().expires_in = run.lease_end - now;
    report.leases.back().usage = usage;
  }
  return {WorkerReplyKind::kOk, {}, report};
}

WorkerReply FakeWorker::Do(const StartCommand& start,
                           Epoch epoch,
                           TimePoint now) {
  if (IsLate(start.not_after, now))
    return Refuse(WorkerRefusal::kTooLate);
  if (runs.contains(start.task))
    return Refuse(WorkerRefusal::kAlreadyHere);
  WorkerLease lease;
  lease.task = start.task;
  lease.attempt = start.attempt;
  lease.epoch = epoch;
  lease.kind = start.kind;
  lease.resources = start.resources;
  runs[start.task] = {lease, now + start.lease, now + start.run_time};
  ++accepted[{start.task, start.attempt}];
  starts.push_back(start);
  return Ok();
}

WorkerReply FakeWorker::Do(const RenewCommand& renew, Epoch, TimePoint now) {
  if (IsLate(renew.not_after, now))
    return Refuse(WorkerRefusal::kTooLate);
  for (auto& [task, run] : runs)
    run.lease_end = now + renew.lease;
  return Ok();
}

WorkerReply FakeWorker::Do(const ThrottleCommand& throttle, Epoch, TimePoint) {
  const auto found = runs.find(throttle.task);
  if (found == runs.end())
    return Refuse(WorkerRefusal::kUnknownTask);
  found->second.lease.throttle_percent = throttle.percent;
  return Ok();
}

WorkerReply FakeWorker::Do(const CheckpointCommand& command, Epoch, TimePoint) {
  const auto found = runs.find(command.task);
  if (found == runs.end())
    return Refuse(WorkerRefusal::kUnknownTask);
  return End(command.task, TaskResult::kEvicted,
             "after " + std::to_string(found->second.lease.attempt.value()));
}

WorkerReply FakeWorker::Do(const StopCommand& stop, Epoch, TimePoint) {
  return End(stop.task, TaskResult::kEvicted, "");
}

WorkerReply FakeWorker::Do(const AckCommand& ack, Epoch, TimePoint) {
  for (const auto& [task, attempt] : ack.tasks)
    std::erase_if(finished, [&, id = task, number = attempt](const auto& end) {
      return end.task == id && end.attempt == number;
    });
  return Ok();
}

}  // namespace cowslipmast
