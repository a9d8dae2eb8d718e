#include "src/sched/listing.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "src/sched/ends.h"
#include "src/sched/health.h"
#include "src/sched/jobs.h"
#include "src/sched/lease.h"
#include "src/sched/residence.h"

namespace cowslipmast::sched {

namespace {

// A sound task shows progress about every second, and listings come about once
// a second; a paced task is slower by its share.
constexpr Duration kStalledAfter = std::chrono::milliseconds(2500);

void StopForeignRun(State& state,
                    const Worker& worker,
                    const RunningTask& running) {
  ++state.counters.foreign;
  state.stops.push_back({worker.info.id, running.task, running.run});
  state.changed = true;
}

void NoteProgress(Task& task, const RunningTask& running, TimePoint now) {
  if (!task.progressed || running.percent != task.percent ||
      running.checkpoint != task.checkpoint)
    task.progressed = now;
  task.percent = running.percent;
  task.load = running.load;
  if (!running.checkpoint.empty())
    task.checkpoint = running.checkpoint;
}

void ApplyRunning(State& state,
                  int32_t worker,
                  const RunningTask& running,
                  TimePoint now) {
  Worker& host = state.workers[static_cast<size_t>(worker)];
  const auto ref = FindTask(state, running.task);
  if (!ref || TaskOf(*ref).worker != worker ||
      TaskOf(*ref).run != running.run) {
    StopForeignRun(state, host, running);
    return;
  }
  Task& task = TaskOf(*ref);
  task.listing = host.listings;
  NoteProgress(task, running, now);
  if (task.phase != TaskPhase::kPlanned && task.phase != TaskPhase::kUncertain)
    return;
  task.phase = TaskPhase::kRunning;
  task.visible_from = now;
}

// The run is neither running nor ended although it should be visible.
void ApplyMissing(State& state, const TaskRef& ref, TimePoint now) {
  Task& task = TaskOf(ref);
  if (task.phase == TaskPhase::kUncertain) {
    // The order may still arrive; a stop keeps the worker from taking it.
    StopTask(state, ref);
    return;
  }
  ++state.counters.lost;
  Note(state, "run_lost", ref, "not listed");
  ReturnTask(state, ref, now);
}

bool IsPaced(const Task& task) {
  return task.pace < 100;
}

}  // namespace

void ApplyListing(State& state,
                  int32_t worker,
                  const WorkerListing& listing,
                  TimePoint asked,
                  TimePoint now) {
  const auto index = static_cast<size_t>(worker);
  if (state.workers[index].contact != Contact::kUnseen &&
      state.workers[index].born_ms != 0 && listing.born_ms != 0 &&
      state.workers[index].born_ms != listing.born_ms) {
    ReturnAllTasks(state, worker, "worker restarted", now);
    Worker& reborn = state.workers[index];
    reborn.clock.reset();
    reborn.lease_sent = WorkerClock(0);
    reborn.ends_applied = reborn.ends_planned = reborn.ends_stored = 0;
    reborn.health = WorkerHealth{};
  }
  Worker& host = state.workers[index];
  if (host.contact != Contact::kInTouch)
    state.changed = true;
  host.contact = Contact::kInTouch;
  if (listing.born_ms != 0)
    host.born_ms = listing.born_ms;
  ReadClock(state.options, host, listing.clock, now);
  ++host.listings;
  for (const EndedTask& ended : listing.ended) {
    if (ended.number <= host.ends_applied)
      continue;
    ApplyEnd(state, worker, ended, now);
    host.ends_applied = ended.number;
    state.changed = true;
  }
  for (const RunningTask& running : listing.running)
    ApplyRunning(state, worker, running, now);
  const std::vector<TaskRef> tasks = host.tasks;
  for (const TaskRef& ref : tasks) {
    const Task& task = TaskOf(ref);
    if (task.worker == worker && task.listing != host.listings &&
        task.visible_from && *task.visible_from < asked)
      ApplyMissing(state, ref, now);
  }
  StopStalledTasks(state, worker, now);
}

void ReturnLapsedTasks(State& state, TimePoint now) {
  for (size_t i = 0; i < state.workers.size(); ++i) {
    const Worker& worker = state.workers[i];
    if (worker.contact != Contact::kInTouch && !worker.tasks.empty() &&
        now >= worker.lease_over)
      ReturnAllTasks(state, static_cast<int32_t>(i), "lease over", now);
  }
}

void StopStalledTasks(State& state, int32_t worker, TimePoint now) {
  for (const TaskRef& ref : state.workers[static_cast<size_t>(worker)].tasks) {
    Task& task = TaskOf(ref);
    const StepSpec& spec = SpecOf(ref);
    if (task.phase != TaskPhase::kRunning || spec.lasting || spec.gang ||
        IsPaced(task) || !task.progressed ||
        now - *task.progressed < kStalledAfter)
      continue;
    Note(state, "run_stalled", ref, "percent=" + std::to_string(task.percent));
    StopTask(state, ref);
    // A standing task says as much about its worker as a failed one.
    NoteRunEnd(state, worker, EndKind::kFailed, now);
  }
}

}  // namespace cowslipmast::sched
