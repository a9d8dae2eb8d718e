#include <cstdint>

#include "src/placement/lifecycle.h"
#include "src/placement/steps.h"

namespace cowslipmast {

namespace {

// Above the first share of a worker's processors its latency-critical tasks
// are slowed down; below the second, throttled tasks get their share back.
constexpr int64_t kBusyPercent = 95;
constexpr int64_t kCalmPercent = 70;
constexpr uint32_t kLowestThrottle = 25;
// A task that has not ended its checkpoint by then is stopped.
constexpr Duration kCheckpointLimit = std::chrono::seconds(10);

struct Load {
  bool latency_critical = false;
  int64_t used = 0;              // milli-cores
  TaskPlace* largest = nullptr;  // batch task that uses most
  TaskPlace* throttled = nullptr;
};

Load LoadOf(Placement& placement, const WorkerView& worker) {
  Load load;
  for (const TaskId& task : worker.tasks) {
    TaskPlace& place = placement.places.at(task);
    load.used += place.usage.cpu.count();
    load.latency_critical = load.latency_critical || place.latency_critical;
    if (place.latency_critical || place.phase != TaskPhase::kRunning)
      continue;
    if (!load.largest || place.usage.cpu > load.largest->usage.cpu)
      load.largest = &place;
    if (place.throttle_percent < 100)
      load.throttled = &place;
  }
  return load;
}

void Throttle(Placement& placement,
              const PlacementView& view,
              uint32_t percent,
              TaskPlace& place,
              PlacementDecision& decision) {
  ++placement.counters.throttled;
  place.throttle_percent = percent;
  Send(placement, view, place.worker, ThrottleCommand{place.task, percent},
       decision);
}

void Relieve(Placement& placement,
             const PlacementView& view,
             TaskPlace& place,
             PlacementDecision& decision) {
  if (place.throttle_percent > kLowestThrottle) {
    Throttle(placement, view, place.throttle_percent / 2, place, decision);
    return;
  }
  if (!StepTask(*placement.charts, TaskEvent::kEvict, place.phase))
    return;
  place.evict_sent = view.now;
  Send(placement, view, place.worker, CheckpointCommand{place.task}, decision);
}

void StopOverdue(Placement& placement,
                 const PlacementView& view,
                 const WorkerView& worker,
                 PlacementDecision& decision) {
  for (const TaskId& task : worker.tasks) {
    TaskPlace& place = placement.places.at(task);
    if (place.phase != TaskPhase::kEvicting || place.stop_sent ||
        !place.evict_sent || view.now < *place.evict_sent + kCheckpointLimit)
      continue;
    place.stop_sent = true;
    Send(placement, view, worker.id, StopCommand{task}, decision);
  }
}

}  // namespace

void RelieveWorkers(Placement& placement,
                    const PlacementView& view,
                    PlacementDecision& decision) {
  for (auto& [id, worker] : placement.workers) {
    // One step for each list, so that its effect shows before the next.
    if (!worker.fenced || worker.silent ||
        worker.relieved_at == worker.listed_at)
      continue;
    worker.relieved_at = worker.listed_at;
    StopOverdue(placement, view, worker, decision);
    const Load load = LoadOf(placement, worker);
    const int64_t capacity = worker.capacity.cpu.count();
    if (load.latency_critical && load.largest &&
        load.used * 100 > capacity * kBusyPercent)
      Relieve(placement, view, *load.largest, decision);
    else if (load.throttled && load.used * 100 < capacity * kCalmPercent)
      Throttle(placement, view, 100, *load.throttled, decision);
  }
}

}  // namespace cowslipmast
