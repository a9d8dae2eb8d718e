#include "src/sched/workers.h"

#include <algorithm>

#include "src/sched/placing.h"
#include "src/sched/residence.h"

namespace cowslipmast::sched {

int32_t FindWorker(const State& state, const WorkerId& id) {
  const auto found = state.worker_index.find(id);
  return found == state.worker_index.end() ? kNowhere : found->second;
}

Worker* LookUpWorker(State& state, const WorkerId& id) {
  const int32_t index = FindWorker(state, id);
  return index == kNowhere ? nullptr
                           : &state.workers[static_cast<size_t>(index)];
}

int32_t WorkerIndex(State& state, const WorkerId& id) {
  const int32_t known = FindWorker(state, id);
  if (known != kNowhere)
    return known;
  const auto index = static_cast<int32_t>(state.workers.size());
  Worker& worker = state.workers.emplace_back();
  worker.info.id = id;
  worker.lease_over = state.claimed + state.options.earlier_owner_lease;
  state.worker_index.emplace(id, index);
  return index;
}

double ShareOf(const Worker& worker, double millicores) {
  return millicores /
         std::max(1.0, static_cast<double>(worker.info.capacity.cpu.count()));
}

WorkerBar BarOf(const State& state, const Worker& worker, TimePoint now) {
  if (!worker.listed)
    return WorkerBar::kNotListed;
  if (worker.contact != Contact::kInTouch)
    return WorkerBar::kNoContact;
  if (worker.info.draining)
    return WorkerBar::kDraining;
  if (state.policy.evacuated.count(worker.info.data_centre) > 0)
    return WorkerBar::kEvacuated;
  if (worker.full_until && now < *worker.full_until)
    return WorkerBar::kFull;
  return WorkerBar::kNone;
}

void StopTasksOfLeavingWorkers(State& state, TimePoint now) {
  for (Worker& worker : state.workers) {
    if (!worker.info.draining || worker.contact != Contact::kInTouch)
      continue;
    for (const TaskRef& ref : worker.tasks) {
      const StepSpec& spec = SpecOf(ref);
      if (TaskOf(ref).phase != TaskPhase::kRunning || spec.gang ||
          (!spec.lasting && !spec.checkpointing))
        continue;
      if (FindPlace(state, ref, now) == kNowhere)
        continue;
      Note(state, "run_moved", ref, "worker leaves");
      StopTask(state, ref);
    }
  }
}

}  // namespace cowslipmast::sched
