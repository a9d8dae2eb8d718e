#include "src/sched/choose_cell.h"

#include <algorithm>
#include <utility>

namespace cowslipmast::sched {

namespace {

using std::chrono::milliseconds;

// Below this use of its processors a cell keeps its long-running work.
constexpr double kMinUseToMove = 0.5;
// Use above the mean of all cells that a cell keeps: a move costs two appends,
// and the loads of other cells are up to half a second old.
constexpr double kKeptAboveMean = 0.03;
// Added for each earlier move, so that work does not move on and on while the
// loads change faster than they are known.
constexpr double kKeptAboveMeanPerHop = 0.06;
// Work that has moved this often moves again only if it cannot run here.
constexpr uint32_t kMaxMovesForLoad = 2;
// A cell that is used less takes overdue work whatever else waits there.
constexpr double kMinUseToRefuse = 0.5;
// A move takes about 0.1 s, so shorter waits are left to the cell.
constexpr Duration kMinShortWait = milliseconds(150);
constexpr Duration kMinBestEffortWait = milliseconds(300);
// Lost tasks that fewer must go first in another cell for a move to help: the
// cells' loads are half a second old, in which some of them get a worker.
constexpr double kMinPlacesGained = 2;
// A load may have been measured this long before it was asked for.
constexpr Duration kMaxMeasuredEarlier = milliseconds(300);
// Share of a cell's processors up to which waiting work counts as none.
constexpr double kNegligibleShare = 0.01;

double Cores(MilliCores cpu) {
  return static_cast<double>(cpu.count());
}

double LongRunningCores(const ServiceLoad& load) {
  return Cores(load.long_running) + Cores(load.waiting_long_running);
}

bool HasLabel(const ServiceLoad& load, const std::string& label) {
  return label.empty() || std::find(load.labels.begin(), load.labels.end(),
                                    label) != load.labels.end();
}

struct Candidate {
  CellId cell;
  double weight = 0;
  bool is_full_of_step = false;
};

void PreferOtherThan(std::optional<CellId> cell,
                     std::vector<Candidate>& candidates) {
  if (cell && candidates.size() > 1)
    std::erase_if(candidates,
                  [cell](const Candidate& c) { return c.cell == *cell; });
}

void PreferNotFullOfStep(std::vector<Candidate>& candidates) {
  const auto is_full = [](const Candidate& c) { return c.is_full_of_step; };
  if (!std::all_of(candidates.begin(), candidates.end(), is_full))
    std::erase_if(candidates, is_full);
}

// Chooses one in proportion to the weights.
std::optional<CellId> Draw(const std::vector<Candidate>& candidates,
                           uint64_t random) {
  double total = 0;
  for (const Candidate& candidate : candidates)
    total += candidate.weight;
  if (total <= 0)
    return std::nullopt;
  constexpr uint64_t resolution = 1U << 20;
  double rest = total * static_cast<double>(random % resolution) /
                static_cast<double>(resolution);
  for (const Candidate& candidate : candidates) {
    rest -= candidate.weight;
    if (rest < 0)
      return candidate.cell;
  }
  return candidates.back().cell;
}

// A worker may already run tasks of the step, which its cell does not tell.
size_t TaskLimitOfPiece(const WaitingWork& work) {
  return work.max_per_worker > 0 ? work.max_per_worker : kMaxFreePieces;
}

// True if the tasks of the step that were moved to the cell take all places,
// unless they have moved on.
bool IsFullOfStep(const WaitingWork& work,
                  const ServiceLoad& load,
                  CellId cell) {
  const auto moved = work.moved_tasks.find(cell);
  return work.max_per_worker > 0 && moved != work.moved_tasks.end() &&
         moved->second >= size_t{load.workers} * work.max_per_worker;
}

// True if the cell is well used, and more waits there than it has room for:
// full cells must not exchange their queues.
bool IsBusy(const ServiceLoad& load, const WaitingWork& work) {
  const double capacity = Cores(load.capacity);
  const double free = capacity - Cores(load.reserved) - Cores(load.waiting);
  return free < Cores(work.task_need.cpu) &&
         Cores(load.reserved) >= kMinUseToRefuse * capacity;
}

// Capacity of a cell that the work could use.
double SpareFor(const WaitingWork& work,
                const ServiceLoad& load,
                double mean_use) {
  const double capacity = Cores(load.capacity);
  switch (work.kind) {
    case WorkKind::kLongRunning:
      return mean_use * capacity - LongRunningCores(load);
    case WorkKind::kOverdueLongRunning: {
      const size_t fitting = CountFittingTasks(load, work);
      return fitting < work.min_tasks ? 0 : static_cast<double>(fitting);
    }
    case WorkKind::kOverdueShort: {
      const size_t fitting = CountFittingTasks(load, work);
      return fitting < work.min_tasks || IsBusy(load, work)
                 ? 0
                 : static_cast<double>(fitting);
    }
    case WorkKind::kShort: {
      const double free = capacity - Cores(load.reserved) - Cores(load.waiting);
      return free < Cores(work.need) ? 0 : free;
    }
    case WorkKind::kBestEffort:
    case WorkKind::kOverdueBestEffort: {
      const MilliCores need =
          work.kind == WorkKind::kBestEffort ? work.need : work.task_need.cpu;
      const bool others_wait =
          Cores(load.waiting_best_effort) > kNegligibleShare * capacity;
      return others_wait || Cores(load.idle) < Cores(need) ? 0
                                                           : Cores(load.idle);
    }
  }
  return 0;
}

// Number of lost tasks that have waited for at least so long. Many are lost at
// the same moment.
double CountWaitingAsLong(const ServiceLoad& load, Duration without_run) {
  const auto count = static_cast<size_t>(std::count_if(
      load.lost_tasks.begin(), load.lost_tasks.end(),
      [without_run](const LostTask& t) { return t.waited >= without_run; }));
  return static_cast<double>(count < load.lost_tasks.size()
                                 ? count
                                 : load.lost_task_count.value_or(count));
}

// Places in the order of lost tasks, for the capacity of the own cell, that the
// work gains by a move.
double PlacesGained(const WaitingWork& work,
                    const ServiceLoad& own,
                    const ServiceLoad& other) {
  // All workers of the cell may run as many tasks of the step as they may.
  const bool may_be_full =
      work.max_per_worker > 0 &&
      size_t{other.workers} * work.max_per_worker <= work.step_tasks;
  if (!work.may_rebalance || !work.without_run || may_be_full ||
      !other.lost_task_count || other.capacity.count() <= 0)
    return 0;
  const double ratio = Cores(own.capacity) / Cores(other.capacity);
  // It is one of those that wait here.
  const double ahead_here =
      std::max(0.0, CountWaitingAsLong(own, *work.without_run) - 1);
  const double ahead_there = CountWaitingAsLong(
      other, *work.without_run - work.load_age - kMaxMeasuredEarlier);
  const double gained = ahead_here - ahead_there * ratio;
  return gained >= kMinPlacesGained ? gained : 0;
}

bool IsOverdue(WorkKind kind) {
  return kind == WorkKind::kOverdueShort ||
         kind == WorkKind::kOverdueLongRunning ||
         kind == WorkKind::kOverdueBestEffort;
}

double MeanUse(const ServiceId& service,
               const ServiceLoad& own,
               const std::vector<CellLoad>& others) {
  double used = LongRunningCores(own);
  double capacity = Cores(own.capacity);
  for (const CellLoad& other : others) {
    if (const ServiceLoad* load = FindServiceLoad(other, service)) {
      used += LongRunningCores(*load);
      capacity += Cores(load->capacity);
    }
  }
  return capacity > 0 ? used / capacity : 0;
}

bool ShouldLeave(const WaitingWork& work,
                 const ServiceLoad& own,
                 double mean_use) {
  const double capacity = Cores(own.capacity);
  if (IsOverdue(work.kind))
    return true;
  if (work.hop >= kMaxMovesForLoad)
    return false;
  switch (work.kind) {
    case WorkKind::kLongRunning: {
      const double use = LongRunningCores(own) / capacity;
      return use > kMinUseToMove &&
             use > mean_use + kKeptAboveMean + kKeptAboveMeanPerHop * work.hop;
    }
    case WorkKind::kShort:
      return work.waited >= kMinShortWait;
    case WorkKind::kBestEffort:
      return work.waited >= kMinBestEffortWait &&
             Cores(own.waiting_best_effort) > kNegligibleShare * capacity;
    case WorkKind::kOverdueShort:
    case WorkKind::kOverdueLongRunning:
    case WorkKind::kOverdueBestEffort:
      return true;
  }
  return false;
}

// Number of the work's tasks that the pieces hold: those of the workers with
// its label, if the cell tells them.
size_t CountInPieces(const ServiceLoad& load,
                     const WaitingWork& work,
                     std::vector<Resources> ServiceLoad::*all,
                     std::vector<Resources> LabelLoad::*labelled) {
  const auto with_label = load.by_label.find(work.label);
  const std::vector<Resources>& pieces = with_label == load.by_label.end()
                                             ? load.*all
                                             : with_label->second.*labelled;
  size_t count = 0;
  for (Resources piece : pieces) {
    const size_t limit = count + TaskLimitOfPiece(work);
    for (; Fits(work.task_need, piece) && count < limit; ++count)
      piece -= work.task_need;
  }
  return count;
}

// Takes the smallest suitable pieces first, which leaves large ones whole.
void TakeFrom(std::vector<Resources>& pieces,
              const WaitingWork& work,
              size_t tasks) {
  for (auto piece = pieces.rbegin(); piece != pieces.rend() && tasks > 0;
       ++piece) {
    const size_t kept = tasks - std::min(tasks, TaskLimitOfPiece(work));
    for (; tasks > kept && Fits(work.task_need, *piece); --tasks)
      *piece -= work.task_need;
  }
}

bool IsKeptFor(const LostTask& place, const WaitingWork& work) {
  return place.label == work.label && Fits(work.task_need, place.need);
}

// Takes kept places, each for one task. Returns how many.
size_t TakeKept(std::vector<LostTask>& places,
                const WaitingWork& work,
                size_t tasks) {
  size_t taken = 0;
  for (size_t i = places.size(); i-- > 0 && taken < tasks;) {
    if (!IsKeptFor(places[i], work))
      continue;
    places.erase(places.begin() + static_cast<std::ptrdiff_t>(i));
    ++taken;
  }
  return taken;
}

}  // namespace

bool CouldRun(const ServiceLoad& load, const WaitingWork& work) {
  if (load.workers == 0 || !HasLabel(load, work.label))
    return false;
  const auto labelled = load.by_label.find(work.label);
  const std::vector<Resources>& sizes = labelled == load.by_label.end()
                                            ? load.worker_sizes
                                            : labelled->second.worker_sizes;
  return sizes.empty() ||
         std::any_of(sizes.begin(), sizes.end(), [&](const Resources& size) {
           return Fits(work.task_need, size);
         });
}

size_t CountFittingTasks(const ServiceLoad& load, const WaitingWork& work) {
  const size_t free = CountInPieces(load, work, &ServiceLoad::free_pieces,
                                    &LabelLoad::free_pieces);
  if (!work.without_run)
    return free;
  return free + static_cast<size_t>(std::count_if(
                    load.kept_places.begin(), load.kept_places.end(),
                    [&work](const LostTask& p) { return IsKeptFor(p, work); }));
}

size_t CountReclaimableTasks(const ServiceLoad& load, const WaitingWork& work) {
  return CountInPieces(load, work, &ServiceLoad::reclaimable,
                       &LabelLoad::reclaimable);
}

void TakePieces(ServiceLoad& load, const WaitingWork& work, size_t tasks) {
  if (work.without_run)
    tasks -= TakeKept(load.kept_places, work, tasks);
  TakeFrom(load.free_pieces, work, tasks);
  TakeFrom(load.reclaimable, work, tasks);
  for (auto& [label, labelled] : load.by_label) {
    if (!work.label.empty() && work.label != label)
      continue;
    TakeFrom(labelled.free_pieces, work, tasks);
    TakeFrom(labelled.reclaimable, work, tasks);
  }
}

void AddLostTask(ServiceLoad& load, const LostTask& task) {
  // The number of those that wait there is not known.
  if (!load.lost_task_count)
    return;
  const auto place = std::find_if(
      load.lost_tasks.begin(), load.lost_tasks.end(),
      [&task](const LostTask& t) { return t.waited < task.waited; });
  load.lost_tasks.insert(place, task);
  ++*load.lost_task_count;
}

void TakeLostTask(ServiceLoad& load, Duration waited) {
  const auto found =
      std::find_if(load.lost_tasks.begin(), load.lost_tasks.end(),
                   [waited](const LostTask& t) { return t.waited <= waited; });
  if (found != load.lost_tasks.end())
    load.lost_tasks.erase(found);
  if (load.lost_task_count && *load.lost_task_count > 0)
    --*load.lost_task_count;
}

const ServiceLoad* FindServiceLoad(const CellLoad& load,
                                   const ServiceId& service) {
  const auto found = std::find_if(
      load.services.begin(), load.services.end(),
      [&service](const ServiceLoad& s) { return s.service == service; });
  return found == load.services.end() ? nullptr : &*found;
}

ServiceLoad* FindServiceLoad(CellLoad& load, const ServiceId& service) {
  return const_cast<ServiceLoad*>(
      FindServiceLoad(std::as_const(load), service));
}

std::optional<CellId> ChooseCell(const WaitingWork& work,
                                 const CellLoad& own,
                                 const std::vector<CellLoad>& others) {
  const ServiceLoad* load = FindServiceLoad(own, work.service);
  const bool can_stay = load != nullptr && CouldRun(*load, work);
  double mean_use = 1;
  if (can_stay) {
    mean_use = MeanUse(work.service, *load, others);
    if (!ShouldLeave(work, *load, mean_use))
      return std::nullopt;
  }
  std::vector<Candidate> with_spare;
  std::vector<Candidate> with_reclaimable;
  std::vector<Candidate> with_fewer_lost;
  std::vector<Candidate> with_workers;
  for (const CellLoad& other : others) {
    const ServiceLoad* entry = FindServiceLoad(other, work.service);
    if (other.cell == own.cell || entry == nullptr || !CouldRun(*entry, work))
      continue;
    with_workers.push_back({other.cell, Cores(entry->capacity)});
    const bool is_full_of_step = IsFullOfStep(work, *entry, other.cell);
    const double spare = SpareFor(work, *entry, mean_use);
    if (spare > 0)
      with_spare.push_back({other.cell, spare, is_full_of_step});
    const bool is_back = work.came_from == other.cell;
    const size_t reclaimable = work.may_reclaim && !work.has_just_moved
                                   ? CountReclaimableTasks(*entry, work)
                                   : 0;
    if (reclaimable > 0)
      with_reclaimable.push_back(
          {other.cell, static_cast<double>(reclaimable), is_full_of_step});
    const double gained = can_stay && !is_back && !work.has_just_moved
                              ? PlacesGained(work, *load, *entry)
                              : 0;
    if (gained > 0)
      with_fewer_lost.push_back({other.cell, gained, is_full_of_step});
  }
  if (with_spare.empty())
    with_spare = std::move(with_reclaimable);
  if (with_spare.empty())
    with_spare = std::move(with_fewer_lost);
  PreferNotFullOfStep(with_spare);
  PreferOtherThan(work.came_from, with_spare);
  // Work without any worker here goes to any cell that has some.
  const bool goes_anywhere = with_spare.empty() && !can_stay;
  return Draw(goes_anywhere ? with_workers : with_spare, work.random);
}

}  // namespace cowslipmast::sched
