#include "src/sched/unheard_workers.h"

#include <chrono>
#include <optional>
#include <utility>

#include "src/sched/silent_ends.h"

namespace cowslipmast::sched {

namespace {

// A worker answers every 1.5 s or is reported as silent, after three requests
// of 3 s at most if this process is late.
constexpr Duration kMaxUnheard = std::chrono::seconds(12);
// A process that did not plan for this long has not asked the workers either.
constexpr Duration kMaxPlanPause = std::chrono::seconds(2);

void LogUnheard(State& state, const WorkerState& worker, Duration unheard) {
  if (worker.tasks.empty())
    return;
  Decision decision;
  decision.event = "worker_unheard";
  decision.worker = worker.info.id;
  decision.detail =
      "ms=" + std::to_string(unheard / std::chrono::milliseconds(1));
  state.decisions.push_back(std::move(decision));
}

}  // namespace

void FindUnheardWorkers(State& state, TimePoint now) {
  const std::optional<TimePoint> before =
      std::exchange(state.last_plan_at, now);
  const bool was_away = !before || now - *before > kMaxPlanPause;
  for (size_t i = 0; i < state.workers.size(); ++i) {
    WorkerState& worker = state.workers[i];
    if (worker.is_silent || worker.reachability == Reachability::kUnreachable)
      continue;
    // A new owner asks each worker once it is listed.
    if (was_away || worker.last_heard == TimePoint())
      worker.last_heard = now;
    if (now - worker.last_heard < kMaxUnheard)
      continue;
    LogUnheard(state, worker, now - worker.last_heard);
    if (worker.reachability == Reachability::kReachable)
      worker.reachability = Reachability::kUnreachable;
    worker.is_silent = true;
    worker.unanswered_requests = kMinUnansweredRequests;
    NoteSilence(state, static_cast<int32_t>(i));
  }
}

}  // namespace cowslipmast::sched
