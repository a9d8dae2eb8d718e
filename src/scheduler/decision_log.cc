#include "src/scheduler/decision_log.h"

#include "src/scheduler/clock.h"
#include "src/scheduler/event_log.h"

namespace cowslipmast::sched {

namespace {

// Keeps a line below 1 kB, which readers of the log take in one piece.
constexpr size_t kMostInLine = 16;
// Tasks of a step that start or end together are seen in several listings.
constexpr Duration kGatherFor = std::chrono::milliseconds(200);

std::string Describe(const Decision& decision) {
  std::string text = std::to_string(decision.task.index) + "#" +
                     std::to_string(decision.run.value()) + "@" +
                     decision.worker.value();
  if (!decision.detail.empty())
    text += "[" + decision.detail + "]";
  return text;
}

void Write(const DecisionKey& key,
           const DecisionGroup& group,
           Epoch epoch,
           TimePoint now) {
  LogEvent(key.event, {{"job", key.job.value()},
                       {"iteration", static_cast<int64_t>(key.iteration)},
                       {"step", static_cast<int64_t>(key.step)},
                       {"epoch", static_cast<int64_t>(epoch.value())},
                       {"age_ms", ToMillis(now - group.first)},
                       {"runs", group.runs}});
}

void Add(DecisionGroup& group, const Decision& decision, TimePoint now) {
  if (group.count == 0)
    group.first = now;
  else
    group.runs += ' ';
  group.runs += Describe(decision);
  ++group.count;
}

void WriteOlderThan(DecisionLog& log,
                    Duration age,
                    Epoch epoch,
                    TimePoint now) {
  std::erase_if(log.groups, [&](const auto& entry) {
    const auto& [key, group] = entry;
    const bool due = now - group.first >= age;
    if (due)
      Write(key, group, epoch, now);
    return due;
  });
}

}  // namespace

void LogDecisions(DecisionLog& log,
                  const std::vector<Decision>& decisions,
                  Epoch epoch,
                  TimePoint now) {
  for (const Decision& decision : decisions) {
    const DecisionKey key{decision.event, decision.task.job,
                          decision.task.iteration, decision.task.step};
    DecisionGroup& group = log.groups[key];
    Add(group, decision, now);
    if (group.count < kMostInLine)
      continue;
    Write(key, group, epoch, now);
    log.groups.erase(key);
  }
  WriteOlderThan(log, kGatherFor, epoch, now);
}

void FlushDecisions(DecisionLog& log, Epoch epoch, TimePoint now) {
  WriteOlderThan(log, Duration(0), epoch, now);
}

}  // namespace cowslipmast::sched
