#include "standins/worker/invariant_checker.h"

#include <utility>

namespace cowslipmast::standins {

const char* WorkerViolationName(WorkerViolationKind kind) {
  switch (kind) {
    case WorkerViolationKind::kOverCapacity:
      return "over_capacity";
    case WorkerViolationKind::kConcurrentRuns:
      return "two_places";
    case WorkerViolationKind::kStartedTooLate:
      return "started_too_late";
    case WorkerViolationKind::kAttemptStartedTwice:
      return "attempt_started_twice";
    case WorkerViolationKind::kResumedTwice:
      return "resumed_twice";
    case WorkerViolationKind::kStartedAfterDone:
      return "started_after_done";
    case WorkerViolationKind::kStartedInDrainedDataCentre:
      return "started_in_drained_centre";
  }
  return "";
}

InvariantChecker::InvariantChecker(Duration drain_limit)
    : m_drain_limit(drain_limit) {}

void InvariantChecker::OnStart(const StartEvent& event) {
  ++m_counters.starts;
  CheckWorkerAndTime(event);
  TaskHistory& history = m_tasks[event.run.task];
  CheckTaskHistory(event, history);
  history.attempts.insert(event.run.attempt);
  history.running.insert({event.worker, event.run.attempt});
}

void InvariantChecker::CheckWorkerAndTime(const StartEvent& event) {
  if (!Fits(event.used, event.capacity))
    AddViolation(WorkerViolationKind::kOverCapacity, event);
  if (event.late)
    AddViolation(WorkerViolationKind::kStartedTooLate, event);
  const auto out = m_drained_at.find(event.data_centre);
  if (out != m_drained_at.end() && event.now - out->second > m_drain_limit)
    AddViolation(WorkerViolationKind::kStartedInDrainedDataCentre, event);
}

void InvariantChecker::CheckTaskHistory(const StartEvent& event,
                                        TaskHistory& history) {
  if (!history.running.empty())
    AddViolation(WorkerViolationKind::kConcurrentRuns, event);
  if (history.attempts.contains(event.run.attempt))
    AddViolation(WorkerViolationKind::kAttemptStartedTwice, event);
  if (history.done > 0)
    AddViolation(WorkerViolationKind::kStartedAfterDone, event);
  if (!history.evicted)
    return;
  ++history.resumptions;
  if (history.resumptions > 1)
    AddViolation(WorkerViolationKind::kResumedTwice, event);
}

void InvariantChecker::OnEnd(const std::string& worker,
                             const TaskRun& run,
                             LeaseOutcome result) {
  TaskHistory& history = m_tasks[run.task];
  history.running.erase({worker, run.attempt});
  switch (result) {
    case LeaseOutcome::kDone:
      ++m_counters.done;
      ++history.done;
      break;
    case LeaseOutcome::kFailed:
      ++m_counters.failed;
      break;
    case LeaseOutcome::kEvicted:
      ++m_counters.evictions;
      history.evicted = true;
      break;
    case LeaseOutcome::kLost:
      ++m_counters.lost_leases;
      break;
  }
  // A task whose resumption did not complete may resume again.
  if (result != LeaseOutcome::kDone && history.resumptions > 0)
    --history.resumptions;
}

void InvariantChecker::SetDataCentreDrained(const DataCentreId& id,
                                            bool drained,
                                            TimePoint now) {
  if (drained)
    m_drained_at.emplace(id, now);
  else
    m_drained_at.erase(id);
}

void InvariantChecker::AddViolation(WorkerViolationKind kind,
                                    const StartEvent& event) {
  m_violations.push_back({kind, event.worker, event.run});
}

Json InvariantChecker::Stats() const {
  Json violations = Json::array();
  for (const WorkerViolation& violation : m_violations) {
    violations.push_back({{"kind", WorkerViolationName(violation.kind)},
                          {"worker", violation.worker},
                          {"job", violation.run.task.job.value()},
                          {"index", violation.run.task.index},
                          {"attempt", violation.run.attempt.value()}});
  }
  Json done = Json::array();
  for (const auto& [task, history] : m_tasks) {
    if (history.done > 0)
      done.push_back({{"job", task.job.value()},
                      {"index", task.index},
                      {"count", history.done}});
  }
  return {{"starts", m_counters.starts},
          {"done", m_counters.done},
          {"failed", m_counters.failed},
          {"evictions", m_counters.evictions},
          {"lost_leases", m_counters.lost_leases},
          {"tasks_done", std::move(done)},
          {"violations", std::move(violations)}};
}

}  // namespace cowslipmast::standins
