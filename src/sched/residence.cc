#include "src/sched/residence.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "src/sched/jobs.h"

namespace cowslipmast::sched {

Resources ReservedBy(const StepSpec& spec) {
  Resources reserved = spec.need;
  if (spec.fills)
    reserved.cpu = MilliCores(0);
  return reserved;
}

void OccupyWorker(State& state, const TaskRef& ref, int32_t worker) {
  Worker& host = state.workers[static_cast<size_t>(worker)];
  const StepSpec& spec = SpecOf(ref);
  TaskOf(ref).worker = worker;
  host.tasks.push_back(ref);
  host.reserved += ReservedBy(spec);
  if (spec.fills)
    host.filling += spec.need.cpu;
  else if (spec.lasting)
    host.lasting += spec.need.cpu;
  ++ref.iteration->job->placed;
}

void VacateWorker(State& state, const TaskRef& ref) {
  Task& task = TaskOf(ref);
  if (task.worker == kNowhere)
    return;
  Worker& host = state.workers[static_cast<size_t>(task.worker)];
  const StepSpec& spec = SpecOf(ref);
  std::erase(host.tasks, ref);
  host.reserved -= ReservedBy(spec);
  if (spec.fills)
    host.filling -= spec.need.cpu;
  else if (spec.lasting)
    host.lasting -= spec.need.cpu;
  // A probe that ends without a verdict, such as a cancelled one, is followed
  // by another.
  host.health.probing = false;
  --ref.iteration->job->placed;
  task.worker = kNowhere;
  task.visible_from.reset();
  task.stop_sent.reset();
  task.progressed.reset();
  task.load.reset();
  task.percent = 0;
  task.pace = 100;
  task.wanted_pace = 100;
  task.own_load = kUsualOwnLoad;
  state.changed = true;
}

void StopTask(State& state, const TaskRef& ref) {
  Task& task = TaskOf(ref);
  if (task.worker == kNowhere || task.phase == TaskPhase::kStopping)
    return;
  task.phase = TaskPhase::kStopping;
  task.visible_from.reset();
  task.stop_sent.reset();
  state.changed = true;
}

void ReturnTask(State& state, const TaskRef& ref, TimePoint now) {
  VacateWorker(state, ref);
  Task& task = TaskOf(ref);
  MarkDirty(state, *ref.iteration);
  if (ref.iteration->job->ended_at) {
    task.phase = TaskPhase::kBlocked;
    return;
  }
  task.phase = TaskPhase::kBlocked;
  MakeReady(state, ref, now);
}

void ReturnAllTasks(State& state,
                    int32_t worker,
                    std::string_view why,
                    TimePoint now) {
  const std::vector<TaskRef> tasks =
      state.workers[static_cast<size_t>(worker)].tasks;
  for (const TaskRef& ref : tasks) {
    ++state.counters.lost;
    Note(state, "run_lost", ref, std::string(why));
    ReturnTask(state, ref, now);
  }
}

}  // namespace cowslipmast::sched
