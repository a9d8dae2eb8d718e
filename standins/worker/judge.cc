#include "standins/worker/judge.h"

#include <utility>

namespace cowslipmast::standins {

const char* ViolationName(ViolationKind kind) {
  switch (kind) {
    case ViolationKind::kOverCapacity:
      return "over_capacity";
    case ViolationKind::kTwoPlaces:
      return "two_places";
    case ViolationKind::kStartedTooLate:
      return "started_too_late";
    case ViolationKind::kAttemptStartedTwice:
      return "attempt_started_twice";
    case ViolationKind::kResumedTwice:
      return "resumed_twice";
    case ViolationKind::kStartedAfterDone:
      return "started_after_done";
    case ViolationKind::kStartedInDrainedCentre:
      return "started_in_drained_centre";
  }
  return "";
}

Judge::Judge(Duration drain_limit) : m_drain_limit(drain_limit) {}

void Judge::OnStart(const StartEvent& event) {
  ++m_counters.starts;
  CheckPlace(event);
  TaskHistory& history = m_tasks[event.run.task];
  CheckTask(event, history);
  history.attempts.insert(event.run.attempt);
  history.running.insert({event.worker, event.run.attempt});
}

void Judge::CheckPlace(const StartEvent& event) {
  if (!Fits(event.used, event.capacity))
    Record(ViolationKind::kOverCapacity, event);
  if (event.late)
    Record(ViolationKind::kStartedTooLate, event);
  const auto out = m_out_since.find(event.data_centre);
  if (out != m_out_since.end() && event.now - out->second > m_drain_limit)
    Record(ViolationKind::kStartedInDrainedCentre, event);
}

void Judge::CheckTask(const StartEvent& event, TaskHistory& history) {
  if (!history.running.empty())
    Record(ViolationKind::kTwoPlaces, event);
  if (history.attempts.contains(event.run.attempt))
    Record(ViolationKind::kAttemptStartedTwice, event);
  if (history.done > 0)
    Record(ViolationKind::kStartedAfterDone, event);
  if (!history.evicted)
    return;
  ++history.resumptions;
  if (history.resumptions > 1)
    Record(ViolationKind::kResumedTwice, event);
}

void Judge::OnEnd(const std::string& worker,
                  const TaskRun& run,
                  TaskResult result) {
  TaskHistory& history = m_tasks[run.task];
  history.running.erase({worker, run.attempt});
  switch (result) {
    case TaskResult::kDone:
      ++m_counters.done;
      ++history.done;
      break;
    case TaskResult::kFailed:
      ++m_counters.failed;
      break;
    case TaskResult::kEvicted:
      ++m_counters.evictions;
      history.evicted = true;
      break;
    case TaskResult::kLost:
      ++m_counters.lost_leases;
      break;
  }
  // A resumption that did not complete may be followed by another one.
  if (result != TaskResult::kDone && history.resumptions > 0)
    --history.resumptions;
}

void Judge::OnDataCentre(const DataCentreId& id, bool out, TimePoint now) {
  if (out)
    m_out_since.emplace(id, now);
  else
    m_out_since.erase(id);
}

void Judge::Record(ViolationKind kind, const StartEvent& event) {
  m_violations.push_back({kind, event.worker, event.run});
}

Json Judge::Stats() const {
  Json violations = Json::array();
  for (const Violation& violation : m_violations) {
    violations.push_back({{"kind", ViolationName(violation.kind)},
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
