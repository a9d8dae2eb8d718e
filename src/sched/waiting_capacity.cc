#include "src/sched/waiting_capacity.h"

#include <algorithm>
#include <chrono>
#include <optional>

#include "src/sched/assignment.h"
#include "src/sched/cell_load.h"
#include "src/sched/choose_cell.h"
#include "src/sched/jobs.h"
#include "src/sched/relocation.h"
#include "src/sched/task_placement.h"
#include "src/sched/workers.h"

namespace cowslipmast::sched {

namespace {

// Who holds the capacity of one worker.
struct HeldCapacity {
  Resources long_running;
  Resources short_work;
  Resources best_effort;
  /** Part of the above: of runs that the last listing did not show. */
  Resources unlisted;
  Resources stopping;  // part of the above
  Resources unexpected;
};

HeldCapacity MeasureHeld(const WorkerState& worker) {
  HeldCapacity held;
  held.unexpected = worker.unexpected;
  for (const TaskRef& ref : worker.tasks) {
    const StepSpec& spec = SpecOf(ref);
    const Resources need = ReservedBy(spec);
    if (spec.best_effort)
      held.best_effort += need;
    else if (spec.long_running)
      held.long_running += need;
    else
      held.short_work += need;
    if (ReadTask(ref).last_listing != worker.listing_count)
      held.unlisted += need;
    if (ReadTask(ref).phase == SchedulingPhase::kStopping)
      held.stopping += need;
  }
  return held;
}

// Workers on which the task would fit if some of what holds capacity were gone.
struct FittingWorkers {
  size_t now = 0;
  size_t by_listing = 0;
  size_t without_short_work = 0;
  size_t without_best_effort = 0;
  size_t without_both = 0;
};

void Count(const Resources& need, const Resources& free, size_t& count) {
  count += Fits(need, free) ? 1 : 0;
}

void AddWorker(const Resources& need,
               const Resources& free,
               const HeldCapacity& held,
               FittingWorkers& fitting) {
  Count(need, free, fitting.now);
  Count(need, free + held.unlisted, fitting.by_listing);
  Count(need, free + held.short_work, fitting.without_short_work);
  Count(need, free + held.best_effort, fitting.without_best_effort);
  Count(need, free + held.short_work + held.best_effort, fitting.without_both);
}

std::string Format(const Resources& resources) {
  return std::to_string(resources.cpu.count()) + "/" +
         std::to_string(resources.memory.count());
}

std::string Format(const FittingWorkers& fitting) {
  return " fits=" + std::to_string(fitting.now) +
         " by_listing=" + std::to_string(fitting.by_listing) +
         " without_short=" + std::to_string(fitting.without_short_work) +
         " without_best_effort=" + std::to_string(fitting.without_best_effort) +
         " without_both=" + std::to_string(fitting.without_both);
}

std::string Format(const WorkerState& worker, const HeldCapacity& held) {
  return " on=" + worker.info.id.value() +
         " free=" + Format(FreeCapacity(worker)) +
         " long_running=" + Format(held.long_running) +
         " short=" + Format(held.short_work) +
         " best_effort=" + Format(held.best_effort) +
         " unlisted=" + Format(held.unlisted) +
         " stopping=" + Format(held.stopping) +
         " unexpected=" + Format(held.unexpected);
}

std::string DescribeOtherCells(const State& state,
                               const TaskRef& ref,
                               TimePoint now) {
  WaitingWork work;
  work.service = PolicyOf(state, *ref.iteration->job).service;
  work.task_need = ReservedBy(SpecOf(ref));
  work.label = SpecOf(ref).label;
  std::string text;
  for (const CellLoad& load : state.cell_loads) {
    const ServiceLoad* service = FindServiceLoad(load, work.service);
    if (load.cell == state.options.cell || service == nullptr)
      continue;
    text += " cell_" + std::to_string(load.cell.value()) + "=" +
            std::to_string(CountFittingTasks(*service, work)) + "x";
    if (!service->free_pieces.empty())
      text += Format(service->free_pieces.front());
  }
  if (!text.empty())
    text += " loads_ms_ago=" + std::to_string((now - state.cell_loads_at) /
                                              std::chrono::milliseconds(1));
  return text;
}

}  // namespace

std::string DescribeCapacityFor(const State& state,
                                const TaskRef& ref,
                                TimePoint now) {
  const Resources need = ReservedBy(SpecOf(ref));
  FittingWorkers fitting;
  MilliCores free_in_all;
  const WorkerState* roomiest = nullptr;
  for (const WorkerState& worker : state.workers) {
    if (!MayRunOn(state, worker, ref, now))
      continue;
    AddWorker(need, FreeCapacity(worker), MeasureHeld(worker), fitting);
    free_in_all += std::max(MilliCores(0), FreeCapacity(worker).cpu);
    if (roomiest == nullptr ||
        FreeCapacity(worker).cpu > FreeCapacity(*roomiest).cpu)
      roomiest = &worker;
  }
  const size_t with_move =
      CountRoomByMoves(state, FindMovableTasks(state, now), ref, now);
  return " needs=" + Format(need) + Format(fitting) +
         " with_move=" + std::to_string(with_move) +
         " free_in_all=" + std::to_string(free_in_all.count()) +
         (roomiest != nullptr ? Format(*roomiest, MeasureHeld(*roomiest))
                              : "") +
         DescribeOtherCells(state, ref, now);
}

}  // namespace cowslipmast::sched
