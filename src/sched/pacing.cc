#include "src/sched/pacing.h"

#include <algorithm>
#include <string>

namespace cowslipmast::sched {

namespace {

// The tail is a rough figure of the last half second, so a pace has to stand
// for longer than that before it is judged.
constexpr Duration kJudgeAfter = std::chrono::milliseconds(600);
// Share of the latency target at which filling tasks are slowed down, and
// below which they are sped up.
constexpr double kTooHigh = 0.95;
constexpr double kLowEnough = 0.7;
constexpr uint32_t kRaiseBy = 25;  // percent points
constexpr uint32_t kFullPace = 100;
// At a pace near zero a task stands still: a step below stops the work.
constexpr uint32_t kLowestPace = 10;

// Largest ratio of measured tail to target among the worker's serving tasks.
double WorstTail(const Worker& worker) {
  double worst = 0;
  for (const TaskRef& ref : worker.tasks) {
    const StepSpec& spec = SpecOf(ref);
    const Task& task = TaskOf(ref);
    if (spec.latency_target.count() == 0 || !task.load || spec.fills)
      continue;
    const double target_ms =
        static_cast<double>(spec.latency_target.count()) / 1000.0;
    worst = std::max(worst, static_cast<double>(*task.load) / target_ms);
  }
  return worst;
}

}  // namespace

bool IsShared(const Worker& worker) {
  bool serves = false;
  bool fills = false;
  for (const TaskRef& ref : worker.tasks) {
    const StepSpec& spec = SpecOf(ref);
    fills = fills || spec.fills;
    serves = serves || (!spec.fills && spec.latency_target.count() > 0);
  }
  return serves && fills;
}

void PaceFillingTasks(State& state, int32_t worker, TimePoint now) {
  Worker& host = state.workers[static_cast<size_t>(worker)];
  if (!IsShared(host)) {
    host.fill_pace = kFullPace;
    return;
  }
  if (host.pace_changed && now - *host.pace_changed < kJudgeAfter)
    return;
  const double tail = WorstTail(host);
  uint32_t pace = host.fill_pace;
  if (tail > kTooHigh)
    pace = pace <= kLowestPace ? 0 : std::max(kLowestPace, pace / 2);
  else if (tail < kLowEnough)
    pace = std::min(kFullPace, pace + kRaiseBy);
  if (pace == host.fill_pace)
    return;
  host.fill_pace = pace;
  host.pace_changed = now;
  state.changed = true;
}

void PlanPaces(State& state, Plan& plan) {
  for (Worker& worker : state.workers) {
    if (worker.contact != Contact::kInTouch)
      continue;
    for (const TaskRef& ref : worker.tasks) {
      Task& task = TaskOf(ref);
      if (!SpecOf(ref).fills || task.phase != TaskPhase::kRunning ||
          task.pace == worker.fill_pace)
        continue;
      task.pace = worker.fill_pace;
      ++state.counters.paces;
      Note(state, "run_paced", ref, "percent=" + std::to_string(task.pace));
      plan.paces.push_back(
          PaceCommand{worker.info.id, NameOf(ref), task.run, task.pace});
    }
  }
}

}  // namespace cowslipmast::sched
