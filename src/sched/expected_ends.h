#ifndef COWSLIPMAST_SRC_SCHED_EXPECTED_ENDS_H_
#define COWSLIPMAST_SRC_SCHED_EXPECTED_ENDS_H_

#include <optional>
#include <vector>

#include "src/sched/state.h"

namespace cowslipmast::sched {

/** Capacity that is expected to become free on a worker. */
struct CapacityChange {
  TimePoint at;
  Resources freed;
};

/** When a task that has a worker is expected to end; nothing for one that does
 * not end by itself. */
std::optional<TimePoint> ExpectedEnd(const State& state,
                                     const TaskRef& ref,
                                     TimePoint now);

/** The ends expected on the worker in the next seconds, in order. */
std::vector<CapacityChange> ExpectedChanges(const State& state,
                                            const WorkerState& worker,
                                            TimePoint now);

/** A place for one task on a worker, from some time on. */
struct Slot {
  TimePoint from;
  int32_t worker = kNoWorker;
  RackId rack;
};

/** Adds when each of up to `count` tasks is expected to fit on the worker. */
void AddSlots(const State& state,
              int32_t index,
              const Resources& need,
              size_t count,
              TimePoint now,
              std::vector<Slot>& slots);

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHED_EXPECTED_ENDS_H_
