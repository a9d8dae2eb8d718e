#include "src/scheduler_process/decision_log.h"

#include "src/scheduler_process/clock.h"
#include "src/scheduler_process/event_log.h"

namespace cowslipmast::sched {

namespace {

// Keeps a line below 1 kB, which log readers take in one piece.
constexpr size_t kMaxRunsPerLine = 16;
// Tasks of a step that start or end together are reported by several worker
// listings within this time.
constexpr Duration kGroupingInterval = std::chrono::milliseconds(200);

std::string DescribeDecision(const Decision& decision) {
  std::string text = std::to_string(decision.task.index) + "#" +
                     std::to_string(decision.run.value()) + "@" +
                     decision.worker.value();
  if (!decision.detail.empty())
    text += "[" + decision.detail + "]";
  return text;
}

void WriteGroup(const DecisionKey& key,
                const DecisionGroup& group,
                CellEpoch owner,
                TimePoint now) {
  LogEvent(key.event, {{"job", key.job.value()},
                       {"iteration", static_cast<int64_t>(key.iteration)},
                       {"step", static_cast<int64_t>(key.step)},
                       {"cell", static_cast<int64_t>(owner.cell.value())},
                       {"epoch", static_cast<int64_t>(owner.epoch.value())},
                       {"age_ms", ToMillis(now - group.first_time)},
                       {"runs", group.runs}});
}

void AddToGroup(DecisionGroup& group, const Decision& decision, TimePoint now) {
  if (group.count == 0)
    group.first_time = now;
  else
    group.runs += ' ';
  group.runs += DescribeDecision(decision);
  ++group.count;
}

void WriteOlderThan(DecisionLog& log,
                    Duration age,
                    CellEpoch owner,
                    TimePoint now) {
  std::erase_if(log.groups, [&](const auto& entry) {
    const auto& [key, group] = entry;
    const bool due = now - group.first_time >= age;
    if (due)
      WriteGroup(key, group, owner, now);
    return due;
  });
}

}  // namespace

void LogDecisions(DecisionLog& log,
                  const std::vector<Decision>& decisions,
                  CellEpoch owner,
                  TimePoint now) {
  for (const Decision& decision : decisions) {
    const DecisionKey key{decision.event, decision.task.job,
                          decision.task.iteration, decision.task.step};
    DecisionGroup& group = log.groups[key];
    AddToGroup(group, decision, now);
    if (group.count < kMaxRunsPerLine)
      continue;
    WriteGroup(key, group, owner, now);
    log.groups.erase(key);
  }
  WriteOlderThan(log, kGroupingInterval, owner, now);
}

void FlushDecisions(DecisionLog& log, CellEpoch owner, TimePoint now) {
  WriteOlderThan(log, Duration(0), owner, now);
}

}  // namespace cowslipmast::sched
