#include "src/sched/pacing.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <vector>

#include "src/sched/workers.h"

namespace cowslipmast::sched {

namespace {

constexpr uint32_t kFullPace = 100;
// A pace is sent when it differs by this much, or is zero.
constexpr uint32_t kLeastChange = 12;
// Utilisation kept free below the target: a task's own load may rise by 0.1
// until the next listing.
constexpr double kMargin = 0.06;
// A filling image whose share presses less than this is not slowed down.
constexpr double kNoticeable = 0.02;
// Weight of a new reading of a task's own load; its waves take 10 s.
constexpr double kOwnLoadWeight = 0.6;
// Listings in a row with a tail over the target after which all filling tasks
// are slowed down: two where the model does not explain it, four where pacing
// by the model has not helped. Listings come 0.7 s apart, and a task may be
// over its target for 4 s.
constexpr uint32_t kListingsUnexplained = 2;
constexpr uint32_t kListingsUnhelped = 4;
constexpr double kSlowDown = 0.4;
constexpr double kSpeedUp = 0.3;  // added with each listing within the target

bool IsServing(const StepSpec& spec) {
  return !spec.fills && spec.latency_target.count() > 0;
}

// Shares that the filling images used when the worker listed them.
std::vector<FillingShare> UsedShares(const Worker& worker) {
  std::vector<FillingShare> shares;
  for (const TaskRef& ref : worker.tasks) {
    const Task& task = TaskOf(ref);
    if (!SpecOf(ref).fills || !task.load || *task.load <= 0 ||
        task.listing != worker.listings)
      continue;
    AddShare(shares, StepOf(ref).image,
             ShareOf(worker, static_cast<double>(*task.load)));
  }
  return shares;
}

double TargetMs(const StepSpec& spec) {
  return static_cast<double>(spec.latency_target.count()) / 1000.0;
}

enum class Tails {
  kWithinTargets,
  kExplained,    // one is over its target, as the model expects
  kUnexplained,  // one is over its target, and the model knows no reason
};

// Reads the tails of the worker's serving tasks.
Tails ReadTails(State& state, Worker& worker) {
  const std::vector<FillingShare> shares = UsedShares(worker);
  const std::vector<FillingShare> changes =
      ChangeOfShares(worker.shares, shares);
  Tails tails = Tails::kWithinTargets;
  for (const TaskRef& ref : worker.tasks) {
    const StepSpec& spec = SpecOf(ref);
    Task& task = TaskOf(ref);
    // Below 100 percent the task is still starting up.
    if (!IsServing(spec) || !task.load || *task.load <= 0 ||
        task.percent < 100 || task.listing != worker.listings)
      continue;
    const ImageIndex image = StepOf(ref).image;
    ServingModel& model = state.pressure.serving[image];
    const auto tail = static_cast<double>(*task.load);
    if (model.shortest_tail_ms <= 0 || tail < model.shortest_tail_ms)
      model.shortest_tail_ms = tail;
    const double used = UtilisationAt(model, tail, TargetMs(spec));
    ObserveLevel(state.pressure, image, used, shares);
    if (task.read_listing + 1 == worker.listings)
      ObserveChange(state.pressure, image, task.utilisation, used, changes);
    task.utilisation = used;
    task.read_listing = worker.listings;
    const double pressed = TotalPressure(state.pressure, image, shares);
    const double own = std::clamp(used - pressed, 0.0, 0.8);
    task.own_load += kOwnLoadWeight * (own - task.own_load);
    if (tail <= TargetMs(spec) || shares.empty())
      continue;
    if (pressed < kMargin)
      tails = Tails::kUnexplained;
    else if (tails == Tails::kWithinTargets)
      tails = Tails::kExplained;
  }
  worker.shares = shares;
  return tails;
}

// Share of full pace at which the filling tasks leave a serving task within its
// limit, given what they press on it at full pace.
double PaceFor(double own_load, double limit, double pressed) {
  if (pressed <= kNoticeable)
    return 1.0;
  return std::clamp((limit - own_load) / pressed, 0.0, 1.0);
}

double LimitOf(const State& state, const TaskRef& ref) {
  const double target = TargetMs(SpecOf(ref));
  return UtilisationAt(state.pressure.serving[StepOf(ref).image], target,
                       target) -
         kMargin;
}

// Processors that a filling task would use at full pace.
double FullUse(const TaskRef& ref) {
  const Task& task = TaskOf(ref);
  const auto declared = static_cast<double>(SpecOf(ref).need.cpu.count());
  if (!task.load || *task.load <= 0 || task.pace < 20 || task.pace > kFullPace)
    return declared;
  return std::min(declared * 1.5, static_cast<double>(*task.load) * 100.0 /
                                      static_cast<double>(task.pace));
}

// What a filling task presses on tasks of a serving image at full pace.
double PressureOf(const State& state,
                  const Worker& worker,
                  ImageIndex serving,
                  const TaskRef& filling) {
  return Pressure(state.pressure, serving, StepOf(filling).image) *
         ShareOf(worker, FullUse(filling));
}

void SetPaces(State& state, Worker& worker) {
  for (const TaskRef& ref : worker.tasks) {
    if (SpecOf(ref).fills)
      TaskOf(ref).wanted_pace = kFullPace;
  }
  for (const TaskRef& serving : worker.tasks) {
    if (!IsServing(SpecOf(serving)))
      continue;
    const ImageIndex image = StepOf(serving).image;
    std::vector<Task*> pressing;
    double pressed = 0;
    for (const TaskRef& ref : worker.tasks) {
      if (!SpecOf(ref).fills)
        continue;
      const double by_task = PressureOf(state, worker, image, ref);
      if (by_task < kNoticeable / 2)
        continue;
      pressed += by_task;
      pressing.push_back(&TaskOf(ref));
    }
    const double pace =
        PaceFor(TaskOf(serving).own_load, LimitOf(state, serving), pressed);
    for (Task* task : pressing) {
      task->wanted_pace = std::min(
          task->wanted_pace, static_cast<uint32_t>(std::lround(pace * 100)));
    }
  }
}

void SlowAllDown(Worker& worker) {
  for (const TaskRef& ref : worker.tasks) {
    Task& task = TaskOf(ref);
    if (SpecOf(ref).fills)
      task.wanted_pace = static_cast<uint32_t>(
          static_cast<double>(task.wanted_pace) * worker.fill_factor);
  }
}

bool DiffersEnough(const Task& task) {
  if (task.pace == task.wanted_pace)
    return false;
  const uint32_t change = task.pace > task.wanted_pace
                              ? task.pace - task.wanted_pace
                              : task.wanted_pace - task.pace;
  return change >= kLeastChange || task.wanted_pace == 0;
}

}  // namespace

bool IsShared(const Worker& worker) {
  bool serves = false;
  bool fills = false;
  for (const TaskRef& ref : worker.tasks) {
    const StepSpec& spec = SpecOf(ref);
    fills = fills || spec.fills;
    serves = serves || IsServing(spec);
  }
  return serves && fills;
}

void PaceFillingTasks(State& state, int32_t index) {
  Worker& worker = state.workers[static_cast<size_t>(index)];
  const Tails tails = ReadTails(state, worker);
  if (!IsShared(worker)) {
    worker.fill_factor = 1.0;
    worker.over_target = 0;
  } else if (tails == Tails::kWithinTargets) {
    worker.over_target = 0;
    worker.fill_factor = std::min(1.0, worker.fill_factor + kSpeedUp);
  } else {
    const uint32_t patience =
        tails == Tails::kUnexplained ? kListingsUnexplained : kListingsUnhelped;
    if (++worker.over_target >= patience)
      worker.fill_factor *= kSlowDown;
  }
  SetPaces(state, worker);
  SlowAllDown(worker);
  for (const TaskRef& ref : worker.tasks) {
    if (SpecOf(ref).fills && DiffersEnough(TaskOf(ref)))
      state.changed = true;
  }
}

double RoomBeside(const State& state,
                  const Worker& worker,
                  ImageIndex filling,
                  MilliCores cpu) {
  double least = kAmpleRoom;
  for (const TaskRef& serving : worker.tasks) {
    if (!IsServing(SpecOf(serving)))
      continue;
    const ImageIndex image = StepOf(serving).image;
    const double added = Pressure(state.pressure, image, filling) *
                         ShareOf(worker, static_cast<double>(cpu.count()));
    if (added < kNoticeable / 2)
      continue;
    double pressed = added;
    for (const TaskRef& ref : worker.tasks) {
      if (SpecOf(ref).fills)
        pressed += PressureOf(state, worker, image, ref);
    }
    least = std::min(
        least, LimitOf(state, serving) - TaskOf(serving).own_load - pressed);
  }
  return least;
}

void PlanPaces(State& state, Plan& plan) {
  for (Worker& worker : state.workers) {
    if (worker.contact != Contact::kInTouch)
      continue;
    for (const TaskRef& ref : worker.tasks) {
      Task& task = TaskOf(ref);
      if (!SpecOf(ref).fills || task.phase != TaskPhase::kRunning ||
          !DiffersEnough(task))
        continue;
      task.pace = task.wanted_pace;
      ++state.counters.paces;
      Note(state, "run_paced", ref, "percent=" + std::to_string(task.pace));
      plan.paces.push_back(
          PaceCommand{worker.info.id, NameOf(ref), task.run, task.pace});
    }
  }
}

}  // namespace cowslipmast::sched
