#include <cstdint>

#include "src/placement/decision_steps.h"
#include "src/placement/task_lifecycle.h"

namespace cowslipmast {

namespace {

// Above kOverloadPercent of a worker's processors, its latency-critical tasks
// are slowed down; below kThrottleEndPercent, throttling of a task ends.
constexpr int64_t kOverloadPercent = 95;
constexpr int64_t kThrottleEndPercent = 70;
constexpr uint32_t kMinThrottlePercent = 25;
// A task whose checkpoint takes longer than this is stopped.
constexpr Duration kCheckpointTimeout = std::chrono::seconds(10);

struct CpuLoad {
  bool latency_critical = false;
  int64_t used_millicores = 0;  // in use by all tasks
  TaskAssignment* largest =
      nullptr;  // the batch task with the highest processor use
  TaskAssignment* throttled = nullptr;
};

CpuLoad CpuLoadOf(PlacementState& placement, const TrackedWorker& worker) {
  CpuLoad load;
  for (const TaskId& task : worker.tasks) {
    TaskAssignment& assignment = placement.assignments.at(task);
    load.used_millicores += assignment.usage.cpu.count();
    load.latency_critical =
        load.latency_critical || assignment.latency_critical;
    if (assignment.latency_critical || assignment.phase != TaskPhase::kRunning)
      continue;
    if (!load.largest || assignment.usage.cpu > load.largest->usage.cpu)
      load.largest = &assignment;
    if (assignment.throttle_percent < 100)
      load.throttled = &assignment;
  }
  return load;
}

void Throttle(PlacementState& placement,
              const PlacementView& view,
              uint32_t percent,
              TaskAssignment& assignment,
              PlacementDecision& decision) {
  ++placement.counters.throttled;
  assignment.throttle_percent = percent;
  Send(placement, view, assignment.worker,
       ThrottleCommand{assignment.task, percent}, decision);
}

void ThrottleOrEvict(PlacementState& placement,
                     const PlacementView& view,
                     TaskAssignment& assignment,
                     PlacementDecision& decision) {
  if (assignment.throttle_percent > kMinThrottlePercent) {
    Throttle(placement, view, assignment.throttle_percent / 2, assignment,
             decision);
    return;
  }
  if (!StepTask(*placement.charts, TaskEvent::kEvict, assignment.phase))
    return;
  assignment.evict_sent_at = view.now;
  Send(placement, view, assignment.worker, CheckpointCommand{assignment.task},
       decision);
}

void StopOverdue(PlacementState& placement,
                 const PlacementView& view,
                 const TrackedWorker& worker,
                 PlacementDecision& decision) {
  for (const TaskId& task : worker.tasks) {
    TaskAssignment& assignment = placement.assignments.at(task);
    if (assignment.phase != TaskPhase::kEvicting || assignment.stop_sent ||
        !assignment.evict_sent_at ||
        view.now < *assignment.evict_sent_at + kCheckpointTimeout)
      continue;
    assignment.stop_sent = true;
    Send(placement, view, worker.id, StopCommand{task}, decision);
  }
}

}  // namespace

void ReduceOverload(PlacementState& placement,
                    const PlacementView& view,
                    PlacementDecision& decision) {
  for (auto& [id, worker] : placement.workers) {
    // At most one action per list, so that its effect is visible before the
    // next one.
    if (!worker.fenced || worker.unreachable ||
        worker.overload_checked_at == worker.listed_at)
      continue;
    worker.overload_checked_at = worker.listed_at;
    StopOverdue(placement, view, worker, decision);
    const CpuLoad load = CpuLoadOf(placement, worker);
    const int64_t capacity = worker.capacity.cpu.count();
    if (load.latency_critical && load.largest &&
        load.used_millicores * 100 > capacity * kOverloadPercent)
      ThrottleOrEvict(placement, view, *load.largest, decision);
    else if (load.throttled &&
             load.used_millicores * 100 < capacity * kThrottleEndPercent)
      Throttle(placement, view, 100, *load.throttled, decision);
  }
}

}  // namespace cowslipmast
