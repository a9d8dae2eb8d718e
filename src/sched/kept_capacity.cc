#include "src/sched/kept_capacity.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <optional>
#include <vector>

#include "src/sched/choose_cell.h"
#include "src/sched/jobs.h"
#include "src/sched/task_placement.h"
#include "src/sched/work_to_move.h"
#include "src/sched/workers.h"

namespace cowslipmast::sched {

namespace {

// Places for tasks of silent workers, each at the cost of a look at the free
// pieces.
constexpr size_t kMaxPlacesForSilentWorkers = 128;

// By then a task of another cell has been moved here. One that has not come may
// not be able to: other work must not wait for it beside free capacity.
constexpr Duration kMaxKeptForOtherCell = std::chrono::milliseconds(1500);

// A worker with what is left of its free capacity.
struct FreePiece {
  int32_t worker = kNoWorker;
  Resources free;
};

struct TaskNeed {
  Resources need;
  uint32_t priority = 0;
  std::string label;
  std::optional<TaskRef> own;  // nothing for a task of another cell
};

using NeedsByService = std::map<ServiceId, std::vector<TaskNeed>>;

// Long-running tasks whose workers do not answer. Some of these workers run on,
// but nothing starts for the others until the leases have expired.
void AddTasksOfSilentWorkers(const State& state, NeedsByService& needs) {
  size_t count = 0;
  for (const WorkerState& worker : state.workers) {
    if (worker.reachability != Reachability::kUnreachable)
      continue;
    for (const TaskRef& ref : worker.tasks) {
      const StepSpec& spec = SpecOf(ref);
      if (!spec.long_running || spec.best_effort || spec.gang ||
          ref.iteration->job->ended_at)
        continue;
      if (++count > kMaxPlacesForSilentWorkers)
        return;
      const QueuePolicy& policy = PolicyOf(state, *ref.iteration->job);
      needs[policy.service].push_back(
          {spec.need, policy.priority, spec.label, ref});
    }
  }
}

void AddLostTasksElsewhere(const State& state,
                           TimePoint now,
                           NeedsByService& needs) {
  if (!HasFreshLoads(state, now))
    return;
  for (const CellLoad& cell : state.cell_loads) {
    if (cell.cell == state.options.cell)
      continue;
    for (const ServiceLoad& load : cell.services) {
      for (const LostTask& task : load.lost_tasks)
        needs[load.service].push_back(
            {task.need, task.priority, task.label, {}});
    }
  }
}

std::vector<FreePiece> FindFreePieces(const State& state,
                                      const ServiceId& service,
                                      const std::vector<TaskNeed>& needs,
                                      TimePoint now) {
  const auto smallest = std::min_element(
      needs.begin(), needs.end(), [](const TaskNeed& a, const TaskNeed& b) {
        return a.need.cpu < b.need.cpu;
      });
  std::vector<FreePiece> pieces;
  for (size_t i = 0; i < state.workers.size(); ++i) {
    const WorkerState& worker = state.workers[i];
    const Resources free = FreeCapacity(worker) - worker.held;
    if (worker.info.service == service && free.cpu >= smallest->need.cpu &&
        EligibilityOf(state, worker, now) == WorkerEligibility::kEligible)
      pieces.push_back({static_cast<int32_t>(i), free});
  }
  return pieces;
}

// True if the place has been kept for other cells for too long.
bool IsKeptInVain(State& state, int32_t worker, TimePoint now) {
  const Resources free =
      FreeCapacity(state.workers[static_cast<size_t>(worker)]);
  KeptPlace& place = state.kept_places[worker];
  if (place.free != free)
    place = {.since = now, .seen = now, .free = free};
  place.seen = now;
  return now - place.since > kMaxKeptForOtherCell;
}

// The tightest piece leaves large ones whole.
FreePiece* FindTightest(State& state,
                        std::vector<FreePiece>& pieces,
                        const TaskNeed& task,
                        TimePoint now) {
  FreePiece* tightest = nullptr;
  for (FreePiece& piece : pieces) {
    if (!Fits(task.need, piece.free) ||
        (tightest != nullptr && piece.free.cpu >= tightest->free.cpu))
      continue;
    const WorkerState& worker =
        state.workers[static_cast<size_t>(piece.worker)];
    const bool is_usable = task.own ? MayRunOn(state, worker, *task.own, now)
                                    : !IsKeptInVain(state, piece.worker, now);
    if (is_usable)
      tightest = &piece;
  }
  return tightest;
}

}  // namespace

void KeepForTasksThatHadRuns(State& state, TimePoint now) {
  state.kept_capacity.clear();
  NeedsByService needs_by_service;
  AddTasksOfSilentWorkers(state, needs_by_service);
  AddLostTasksElsewhere(state, now, needs_by_service);
  for (const auto& [service, needs] : needs_by_service) {
    std::vector<FreePiece> pieces = FindFreePieces(state, service, needs, now);
    for (const TaskNeed& task : needs) {
      FreePiece* piece = FindTightest(state, pieces, task, now);
      if (piece == nullptr)
        continue;
      piece->free -= task.need;
      state.kept_capacity.push_back(
          {piece->worker, task.need, task.priority, !task.own, task.label});
    }
  }
  std::erase_if(state.kept_places,
                [now](const auto& place) { return place.second.seen < now; });
}

Resources KeptFrom(const State& state,
                   const WorkerState& worker,
                   const TaskRef& ref) {
  Resources kept;
  if (state.kept_capacity.empty() || !IsNewLongRunning(ref))
    return kept;
  const auto index = static_cast<int32_t>(&worker - state.workers.data());
  const uint32_t priority = PolicyOf(state, *ref.iteration->job).priority;
  for (const KeptCapacity& entry : state.kept_capacity) {
    if (entry.worker == index && entry.priority <= priority)
      kept += entry.need;
  }
  return kept;
}

bool IsNewLongRunning(const TaskRef& ref) {
  const StepSpec& spec = SpecOf(ref);
  return spec.long_running && !spec.best_effort && !ReadTask(ref).has_run;
}

bool IsNewLongRunning(const ReadyKey& key) {
  const std::vector<uint32_t>& ready =
      key.iteration->steps[key.step].ready_tasks;
  return !ready.empty() &&
         IsNewLongRunning(TaskRef{key.iteration, key.step, ready.back()});
}

}  // namespace cowslipmast::sched
