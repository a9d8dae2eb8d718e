#include "src/sched/cell_load.h"

#include <algorithm>
#include <map>
#include <utility>

#include "src/sched/capacity_holds.h"
#include "src/sched/crash_suspects.h"
#include "src/sched/jobs.h"
#include "src/sched/order.h"
#include "src/sched/work_to_move.h"
#include "src/sched/workers.h"
#include "src/sched/workspace_caps.h"

namespace cowslipmast::sched {

namespace {

// Keeps only sizes that no other one exceeds.
void AddWorkerSize(std::vector<Resources>& sizes, const Resources& size) {
  const auto fits_in = [](const Resources& small) {
    return [small](const Resources& large) { return Fits(small, large); };
  };
  if (std::any_of(sizes.begin(), sizes.end(), fits_in(size)))
    return;
  std::erase_if(sizes, [&size](const Resources& s) { return Fits(s, size); });
  if (sizes.size() < kMaxWorkerSizes)
    sizes.push_back(size);
}

void AddLabel(ServiceLoad& load,
              const std::string& label,
              const WorkerState& worker) {
  if (std::find(load.labels.begin(), load.labels.end(), label) ==
      load.labels.end())
    load.labels.push_back(label);
  if (load.by_label.size() < kMaxLabels || load.by_label.contains(label))
    AddWorkerSize(load.by_label[label].worker_sizes, worker.info.capacity);
}

// What the worker can run at all. One that has refused a start just now has no
// capacity that is known to be free, but its work need not go elsewhere.
void AddUsableWorker(ServiceLoad& load, const WorkerState& worker) {
  ++load.workers;
  AddWorkerSize(load.worker_sizes, worker.info.capacity);
  for (const std::string& label : worker.info.labels) {
    if (label != worker.info.rack.value())
      AddLabel(load, label, worker);
  }
}

void AddPiece(ServiceLoad& load,
              const WorkerState& worker,
              const Resources& piece,
              std::vector<Resources> ServiceLoad::*pieces,
              std::vector<Resources> LabelLoad::*labelled_pieces) {
  if (piece.cpu.count() <= 0)
    return;
  (load.*pieces).push_back(piece);
  for (const std::string& label : worker.info.labels) {
    const auto labelled = load.by_label.find(label);
    if (label != worker.info.rack.value() && labelled != load.by_label.end())
      (labelled->second.*labelled_pieces).push_back(piece);
  }
}

void AddCapacity(ServiceLoad& load,
                 const WorkerState& worker,
                 const Resources& kept,
                 const Resources& change_by_moves) {
  load.capacity += worker.info.capacity.cpu;
  load.reserved += worker.reserved.cpu;
  load.long_running += worker.long_running_cpu;
  load.idle += MilliCores(
      std::max<int64_t>(0, static_cast<int64_t>(IdleMillicores(worker))));
  const Resources free = FreeCapacity(worker) - worker.held;
  AddPiece(load, worker, free - kept, &ServiceLoad::free_pieces,
           &LabelLoad::free_pieces);
  AddPiece(load, worker, free + worker.displaceable + change_by_moves,
           &ServiceLoad::reclaimable, &LabelLoad::reclaimable);
}

// What is kept on the worker. Adds what of it is for other cells to `places`.
Resources KeptOn(const State& state,
                 int32_t worker,
                 std::vector<LostTask>& places) {
  Resources kept;
  for (const KeptCapacity& entry : state.kept_capacity) {
    if (entry.worker != worker)
      continue;
    kept += entry.need;
    if (entry.is_for_other_cell)
      places.push_back({.need = entry.need,
                        .priority = entry.priority,
                        .label = entry.label});
  }
  return kept;
}

void KeepLargest(std::vector<Resources>& pieces, size_t count) {
  std::sort(
      pieces.begin(), pieces.end(),
      [](const Resources& a, const Resources& b) { return a.cpu > b.cpu; });
  if (pieces.size() > count)
    pieces.resize(count);
}

void KeepLargestPieces(ServiceLoad& load) {
  KeepLargest(load.free_pieces, kMaxFreePieces);
  if (load.kept_places.size() > kMaxLostTasks)
    load.kept_places.resize(kMaxLostTasks);
  KeepLargest(load.reclaimable, kMaxFreePieces);
  for (auto& [label, entry] : load.by_label) {
    KeepLargest(entry.free_pieces, kMaxLabelPieces);
    KeepLargest(entry.reclaimable, kMaxLabelPieces);
  }
}

void AddWaitingStep(ServiceLoad& load, const ReadyKey& key) {
  const StepSpec& spec = key.iteration->job->spec.steps[key.step];
  const MilliCores need(
      spec.need.cpu.count() *
      static_cast<int64_t>(key.iteration->steps[key.step].ready_tasks.size()));
  if (spec.best_effort)
    load.waiting_best_effort += need;
  else if (spec.long_running)
    load.waiting_long_running += need;
  else
    load.waiting += need;
}

// Lost tasks of the step for which no capacity is held.
void AddLostTasks(const State& state,
                  const ReadyKey& key,
                  TimePoint now,
                  ServiceLoad& load) {
  const StepSpec& spec = key.iteration->job->spec.steps[key.step];
  const StepState& step = std::as_const(key.iteration->steps[key.step]);
  if (!spec.long_running || spec.best_effort || spec.gang ||
      !IsSmallEnoughToMove(*key.iteration->job) || IsHeldBackByCap(state, key))
    return;
  size_t held = CountHolds(state, key);
  for (auto index = step.ready_tasks.rbegin(); index != step.ready_tasks.rend();
       ++index) {
    const Task& task = step.tasks[*index];
    if (!IsLost(spec, task, now) ||
        IsHeldBack(state, TaskRef{key.iteration, key.step, *index}))
      continue;
    if (held > 0) {
      --held;
      continue;
    }
    load.lost_tasks.push_back(
        {.need = spec.need,
         .priority = PolicyOf(state, *key.iteration->job).priority,
         .waited = now - task.ready_since,
         .label = spec.label});
  }
}

void KeepLongestWaiting(ServiceLoad& load) {
  load.lost_task_count = static_cast<uint32_t>(load.lost_tasks.size());
  std::stable_sort(
      load.lost_tasks.begin(), load.lost_tasks.end(),
      [](const LostTask& a, const LostTask& b) { return a.waited > b.waited; });
  if (load.lost_tasks.size() > kMaxLostTasks)
    load.lost_tasks.resize(kMaxLostTasks);
}

std::vector<QueueWaiting> CountWaitingJobs(const State& state) {
  std::map<QueueId, uint64_t> counts;
  for (const auto& [id, job] : state.jobs) {
    if (IsWaiting(*job))
      ++counts[job->spec.queue];
  }
  std::vector<QueueWaiting> waiting;
  waiting.reserve(counts.size());
  for (const auto& [queue, jobs] : counts)
    waiting.push_back({queue, jobs});
  return waiting;
}

}  // namespace

CellLoad MeasureLoad(const State& state,
                     TimePoint now,
                     const std::map<int32_t, Resources>& changes_by_moves) {
  std::map<ServiceId, ServiceLoad> loads;
  for (size_t i = 0; i < state.workers.size(); ++i) {
    const WorkerState& worker = state.workers[i];
    const WorkerEligibility eligibility = EligibilityOf(state, worker, now);
    const bool is_eligible = eligibility == WorkerEligibility::kEligible;
    if (!is_eligible && eligibility != WorkerEligibility::kFull)
      continue;
    ServiceLoad& load = loads[worker.info.service];
    AddUsableWorker(load, worker);
    if (!is_eligible)
      continue;
    const auto found = changes_by_moves.find(static_cast<int32_t>(i));
    AddCapacity(load, worker,
                KeptOn(state, static_cast<int32_t>(i), load.kept_places),
                found == changes_by_moves.end() ? Resources{} : found->second);
  }
  for (const ReadyKey& key : state.ready_steps) {
    ServiceLoad& load = loads[PolicyOf(state, *key.iteration->job).service];
    AddWaitingStep(load, key);
    AddLostTasks(state, key, now, load);
  }
  CellLoad load{.cell = state.options.cell,
                .services = {},
                .waiting = CountWaitingJobs(state)};
  for (auto& [service, entry] : loads) {
    entry.service = service;
    KeepLargestPieces(entry);
    KeepLongestWaiting(entry);
    load.services.push_back(std::move(entry));
  }
  return load;
}

}  // namespace cowslipmast::sched
