#include "src/sched/speed.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <string>
#include <vector>

#include "src/sched/placing.h"
#include "src/sched/residence.h"

namespace cowslipmast::sched {

namespace {

// Slow workers were seen to take 4 to 8 times as long, and tasks differ from
// their estimates by a half.
constexpr double kSlowShare = 0.35;
// Share of a task's work that must have been due before its worker is judged.
constexpr double kLeastExpected = 0.4;
// Evidence of this age counts for 1/e.
constexpr double kForgetAfterS = 2.5;
// Workers were seen to be slow for 6 to 8 s.
constexpr Duration kAvoidFor = std::chrono::seconds(5);
// A paced task says little about its worker.
constexpr uint32_t kLeastPace = 30;
// A stop, the listing that shows it and another start.
constexpr double kMoveS = 0.7;
// Estimates are rough: a move must be worth it by this factor.
constexpr double kWorthMoving = 1.5;
constexpr double kLeastSpeed = 0.05;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

// Share of its full speed at which the task is meant to work.
double MeantSpeed(const StepSpec& spec,
                  const Task& task,
                  const RunningTask& running) {
  if (!spec.fills)
    return static_cast<double>(task.pace) / 100.0;
  return std::clamp(
      static_cast<double>(running.load.value_or(0)) /
          std::max<double>(1.0, static_cast<double>(spec.need.cpu.count())),
      0.0, 1.0);
}

// Work that the step's tasks need, as a multiple of the estimate, by what they
// show on other workers; nothing while those have not shown it yet.
std::optional<double> WorkFactor(const Step& step, int32_t worker) {
  Speed others;
  bool runs_elsewhere = false;
  for (const Task& task : step.tasks) {
    if (task.worker == worker)
      continue;
    others.expected += task.speed.expected;
    others.observed += task.speed.observed;
    runs_elsewhere = runs_elsewhere || task.worker != kNowhere;
  }
  if (others.expected < kLeastExpected)
    return runs_elsewhere ? std::nullopt : std::optional(1.0);
  return others.expected / std::max(others.observed, 0.02 * others.expected);
}

bool IsSlow(const Worker& worker) {
  return worker.speed.expected >= kLeastExpected &&
         worker.speed.observed < kSlowShare * worker.speed.expected;
}

void Forget(Worker& worker, TimePoint now) {
  const double kept = std::exp(-Seconds(now - worker.speed_at) / kForgetAfterS);
  worker.speed.expected *= kept;
  worker.speed.observed *= kept;
  worker.speed_at = now;
}

bool EndsSoonerElsewhere(const Worker& worker, const TaskRef& ref) {
  const Task& task = TaskOf(ref);
  const StepSpec& spec = SpecOf(ref);
  const double speed =
      std::max(kLeastSpeed, worker.speed.observed / worker.speed.expected);
  const double done = static_cast<double>(task.percent) / 100.0;
  const double work = Seconds(spec.estimate) *
                      WorkFactor(StepOf(ref), task.worker).value_or(1.0);
  const double here = work * (1.0 - done) / speed;
  const double elsewhere =
      work * (1.0 - (spec.checkpointing ? done : 0.0)) + kMoveS;
  return here > kWorthMoving * elsewhere;
}

}  // namespace

void NoteSpeed(State& state,
               const TaskRef& ref,
               const RunningTask& running,
               TimePoint now) {
  Task& task = TaskOf(ref);
  const StepSpec& spec = SpecOf(ref);
  if (spec.lasting || spec.gang || spec.estimate.count() == 0)
    return;
  const auto before = task.measured_at;
  task.measured_at = now;
  if (!before || task.pace < kLeastPace || task.pace > 100 ||
      running.percent < task.percent)
    return;
  const double expected = Seconds(now - *before) / Seconds(spec.estimate) *
                          MeantSpeed(spec, task, running);
  const double observed =
      static_cast<double>(running.percent - task.percent) / 100.0;
  task.speed.expected += expected;
  task.speed.observed += observed;
  const auto factor = WorkFactor(StepOf(ref), task.worker);
  if (!factor)
    return;
  Worker& worker = state.workers[static_cast<size_t>(task.worker)];
  Forget(worker, now);
  worker.speed.expected += expected / *factor;
  worker.speed.observed += observed;
}

void LeaveSlowWorker(State& state, int32_t index, TimePoint now) {
  Worker& worker = state.workers[static_cast<size_t>(index)];
  if (!IsSlow(worker))
    return;
  worker.slow_until = now + kAvoidFor;
  const std::vector<TaskRef> tasks = worker.tasks;
  for (const TaskRef& ref : tasks) {
    Task& task = TaskOf(ref);
    const StepSpec& spec = SpecOf(ref);
    if (task.phase != TaskPhase::kRunning || spec.lasting || spec.gang ||
        task.left_slow_worker || !EndsSoonerElsewhere(worker, ref) ||
        FindPlace(state, ref, now) == kNowhere)
      continue;
    task.left_slow_worker = true;
    Note(state, "run_moved", ref,
         "slow worker, percent=" + std::to_string(task.percent));
    StopTask(state, ref);
  }
}

}  // namespace cowslipmast::sched
