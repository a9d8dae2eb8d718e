#include "src/sched/overload_order.h"

#include <algorithm>
#include <chrono>

#include "src/sched/order.h"

namespace cowslipmast::sched {

namespace {

// A step waits for the listing that shows the end of the one before it, and for
// the append of its own start.
constexpr Duration kDelayPerStep = std::chrono::milliseconds(150);
// Late work has waited for too long after this many times the span of its
// objective, when its result is of little use to the caller.
constexpr int kMaxWaitInObjectives = 3;
// One late job at a time, so that a long queue of late jobs cannot make all
// others late too.
constexpr Duration kTurnInterval = std::chrono::seconds(1);

bool HasWaitedTooLong(const State& state,
                      const Iteration& iteration,
                      TimePoint now) {
  const Duration span = ObjectiveOf(state, iteration) - iteration.due;
  return now - iteration.due > span * kMaxWaitInObjectives;
}

}  // namespace

Duration Laxity(const StepOutlook& outlook) {
  return outlook.until_objective - outlook.remaining_path -
         kDelayPerStep * outlook.remaining_steps;
}

OverloadClass ClassifyStep(const StepOutlook& outlook) {
  if (Laxity(outlook) < Duration(0))
    return OverloadClass::kLate;
  return outlook.is_started ? OverloadClass::kStarted : OverloadClass::kOnTime;
}

void GiveTurnToLateWork(State& state, TimePoint now) {
  if (now < state.next_turn)
    return;
  Iteration* oldest = nullptr;
  for (const ReadyKey& key : state.ready_steps) {
    const bool is_older = oldest == nullptr || key.iteration->due < oldest->due;
    if (key.rank == static_cast<uint32_t>(ReadyRank::kLate) && is_older &&
        HasWaitedTooLong(state, *key.iteration, now))
      oldest = key.iteration;
  }
  if (oldest == nullptr)
    return;
  oldest->has_turn = true;
  state.next_turn = now + kTurnInterval;
  ++state.counters.turns;
  LogDecision(state, "late_job_has_turn", TaskRef{oldest, 0, 0});
}

}  // namespace cowslipmast::sched
