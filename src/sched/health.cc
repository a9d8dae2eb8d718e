#include "src/sched/health.h"

#include <algorithm>

namespace cowslipmast::sched {

namespace {

// The workload's own failures are 0.5% to 5% of the runs, so a streak of two
// is 0.25% at most on a sound worker.
constexpr uint32_t kStreakToAvoid = 2;
// Faults of this kind were seen to last for 5 to 7 s.
constexpr Duration kAvoidFor = std::chrono::seconds(4);

}  // namespace

void NoteRunEnd(State& state, int32_t worker, EndKind how, TimePoint now) {
  WorkerHealth& health = state.workers[static_cast<size_t>(worker)].health;
  if (how == EndKind::kDone) {
    health = WorkerHealth{};
    return;
  }
  if (how != EndKind::kFailed)
    return;
  ++health.failure_streak;
  health.probing = false;
  if (health.failure_streak >= kStreakToAvoid)
    health.avoid_until = now + kAvoidFor;
}

bool IsTrusted(const Worker& worker, bool last_attempt, TimePoint now) {
  const WorkerHealth& health = worker.health;
  if (last_attempt && health.failure_streak > 0)
    return false;
  if (!health.avoid_until)
    return true;
  return now >= *health.avoid_until && !health.probing;
}

}  // namespace cowslipmast::sched
