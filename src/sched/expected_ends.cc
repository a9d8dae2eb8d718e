#include "src/sched/expected_ends.h"

#include <algorithm>
#include <chrono>
#include <optional>

#include "src/sched/assignment.h"
#include "src/sched/workers.h"

namespace cowslipmast::sched {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Estimates further ahead are too uncertain to leave capacity idle for.
constexpr Duration kMaxWaitForStart = seconds(6);
constexpr Duration kMinOverdueWait = milliseconds(100);
// Progress below this does not tell the speed of a run.
constexpr uint32_t kMinProgressPercent = 10;

// The run's remaining time by its own progress; nothing if that does not tell.
std::optional<Duration> RemainingByProgress(const Task& task, TimePoint now) {
  if (!task.started || !task.last_progress ||
      task.progress_percent < kMinProgressPercent ||
      task.progress_percent > 100 || *task.last_progress <= *task.started)
    return std::nullopt;
  const Duration taken = *task.last_progress - *task.started;
  const Duration rest = taken * (100 - task.progress_percent) /
                        static_cast<int64_t>(task.progress_percent);
  return rest - (now - *task.last_progress);
}

// A run that has outlasted its estimate may go on for as long again; one that
// has just done so has probably ended, and waits to be listed.
Duration OverdueWait(Duration overdue) {
  return std::max<Duration>(kMinOverdueWait, overdue);
}

}  // namespace

std::optional<TimePoint> ExpectedEnd(const State& state,
                                     const TaskRef& ref,
                                     TimePoint now) {
  const Task& task = TaskOf(ref);
  if (task.phase == SchedulingPhase::kStopping)
    return now;
  if (SpecOf(ref).long_running)
    return std::nullopt;
  const auto by_progress = RemainingByProgress(task, now);
  if (by_progress)
    return now + std::max(*by_progress, OverdueWait(-*by_progress));
  const RunTime run_time = EstimateRunTime(
      state.look_ahead.estimates, ref.iteration->job->spec.queue, SpecOf(ref));
  const Duration elapsed = task.started ? now - *task.started : Duration(0);
  if (elapsed < run_time.expected)
    return now + (run_time.expected - elapsed);
  if (elapsed < run_time.upper)
    return now + (run_time.upper - elapsed);
  return now + OverdueWait(elapsed - run_time.upper);
}

std::vector<CapacityChange> ExpectedChanges(const State& state,
                                            const WorkerState& worker,
                                            TimePoint now) {
  std::vector<CapacityChange> changes;
  for (const TaskRef& ref : worker.tasks) {
    const auto end = ExpectedEnd(state, ref, now);
    if (end && *end <= now + kMaxWaitForStart)
      changes.push_back({*end, ReservedBy(SpecOf(ref))});
  }
  std::sort(changes.begin(), changes.end(),
            [](const CapacityChange& a, const CapacityChange& b) {
              return a.at < b.at;
            });
  return changes;
}

void AddSlots(const State& state,
              int32_t index,
              const Resources& need,
              size_t count,
              TimePoint now,
              std::vector<Slot>& slots) {
  const WorkerState& worker = state.workers[static_cast<size_t>(index)];
  const std::vector<CapacityChange> changes =
      ExpectedChanges(state, worker, now);
  Resources free = FreeCapacity(worker);
  TimePoint at = now;
  auto change = changes.begin();
  for (size_t fitting = 0; fitting < count;) {
    if (Fits(need, free)) {
      free -= need;
      slots.push_back({at, index, worker.info.rack});
      ++fitting;
      continue;
    }
    if (change == changes.end())
      return;
    free += change->freed;
    at = change->at;
    ++change;
  }
}

}  // namespace cowslipmast::sched
