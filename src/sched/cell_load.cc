#include "src/sched/cell_load.h"

#include <algorithm>
#include <map>
#include <utility>

#include "src/sched/jobs.h"
#include "src/sched/workers.h"

namespace cowslipmast::sched {

namespace {

void AddWorker(ServiceLoad& load, const WorkerState& worker) {
  ++load.workers;
  load.capacity += worker.info.capacity.cpu;
  load.reserved += worker.reserved.cpu;
  load.long_running += worker.long_running_cpu;
  load.idle += MilliCores(
      std::max<int64_t>(0, static_cast<int64_t>(IdleMillicores(worker))));
  const Resources free = FreeCapacity(worker);
  if (free.cpu.count() > 0)
    load.free_pieces.push_back(free);
  for (const std::string& label : worker.info.labels) {
    if (label != worker.info.rack.value() &&
        std::find(load.labels.begin(), load.labels.end(), label) ==
            load.labels.end())
      load.labels.push_back(label);
  }
}

void KeepLargestPieces(ServiceLoad& load) {
  std::sort(
      load.free_pieces.begin(), load.free_pieces.end(),
      [](const Resources& a, const Resources& b) { return a.cpu > b.cpu; });
  if (load.free_pieces.size() > kMaxFreePieces)
    load.free_pieces.resize(kMaxFreePieces);
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

CellLoad MeasureLoad(const State& state, TimePoint now) {
  std::map<ServiceId, ServiceLoad> loads;
  for (const WorkerState& worker : state.workers) {
    if (EligibilityOf(state, worker, now) == WorkerEligibility::kEligible)
      AddWorker(loads[worker.info.service], worker);
  }
  for (const ReadyKey& key : state.ready_steps)
    AddWaitingStep(loads[PolicyOf(state, *key.iteration->job).service], key);
  CellLoad load{.cell = state.options.cell,
                .services = {},
                .waiting = CountWaitingJobs(state)};
  for (auto& [service, entry] : loads) {
    entry.service = service;
    KeepLargestPieces(entry);
    load.services.push_back(std::move(entry));
  }
  return load;
}

}  // namespace cowslipmast::sched
