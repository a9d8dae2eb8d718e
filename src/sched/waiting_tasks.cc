#include "src/sched/waiting_tasks.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "src/sched/jobs.h"
#include "src/sched/order.h"
#include "src/sched/reservations.h"
#include "src/sched/step_name.h"
#include "src/sched/task_placement.h"
#include "src/sched/waiting_capacity.h"
#include "src/sched/worker_score.h"
#include "src/sched/workspace_caps.h"

namespace cowslipmast::sched {

namespace {

constexpr Duration kLogInterval = std::chrono::seconds(1);
// Within this time a long-running task must have a worker, and a job a run.
constexpr Duration kMinLoggedWait = std::chrono::seconds(3);
// Lines for one interval; the tasks that have waited longest come first.
constexpr size_t kMaxLoggedTasks = 4;

struct WaitingTask {
  TimePoint since;
  TaskRef ref;
};

// The task of the step that has waited longest.
std::optional<WaitingTask> OldestOf(const ReadyKey& key) {
  const StepState& step = key.iteration->steps[key.step];
  if (step.ready_tasks.empty())
    return std::nullopt;
  const uint32_t index = step.ready_tasks.back();
  return WaitingTask{step.tasks[index].ready_since,
                     TaskRef{key.iteration, key.step, index}};
}

int64_t ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

uint32_t RankOf(const State& state, const TaskRef& ref, TimePoint now) {
  return MakeReadyKey(state, *ref.iteration, ref.step, now).rank;
}

std::string ToPercent(double share) {
  return std::to_string(std::lround(share * 100));
}

// What the last plan did with the task's step, and what a best-effort task
// finds on the trusted workers.
std::string DescribeExamination(const State& state,
                                const WaitingTask& waiting,
                                const PlacementConditions& passed,
                                TimePoint now) {
  const StepState& step = StepOf(waiting.ref);
  std::string text = " ruled_out=" + std::to_string(step.is_ruled_out ? 1 : 0);
  if (step.examined_at)
    text += " examined_ms_ago=" +
            std::to_string(ToMilliseconds(now - *step.examined_at));
  const Job& job = *waiting.ref.iteration->job;
  text += " job_has=" + std::to_string(job.placed_tasks) +
          " rank=" + std::to_string(RankOf(state, waiting.ref, now));
  if (!SpecOf(waiting.ref).best_effort)
    return text;
  const ReservedShares reserved =
      ReservedSharesOf(state, PolicyOf(state, job).service);
  text +=
      " with_idle_time=" + std::to_string(passed.with_idle_time) +
      " with_headroom=" + std::to_string(passed.with_headroom) +
      " reserved_percent=" + ToPercent(reserved.processors) +
      " reserved_memory_percent=" + ToPercent(reserved.memory) +
      " max_opportunistic=" + std::to_string(passed.opportunistic.max_tasks) +
      " needs_room=" + std::to_string(passed.opportunistic.needs_room ? 1 : 0) +
      " with_unused_time=" + std::to_string(passed.with_unused_time) +
      " leaving_memory=" + std::to_string(passed.leaving_memory);
  if (passed.best_headroom)
    text += " best_headroom_percent=" + ToPercent(*passed.best_headroom);
  return text;
}

std::string Describe(const State& state,
                     const WaitingTask& waiting,
                     TimePoint now) {
  const PlacementConditions passed = CheckPlacement(state, waiting.ref, now);
  return "waited_ms=" + std::to_string(ToMilliseconds(now - waiting.since)) +
         " need=" + std::to_string(SpecOf(waiting.ref).need.cpu.count()) +
         " listed=" + std::to_string(passed.listed) +
         " eligible=" + std::to_string(passed.eligible) +
         " suitable=" + std::to_string(passed.suitable) +
         " with_capacity=" + std::to_string(passed.with_capacity) +
         " trusted=" + std::to_string(passed.trusted) + " waits_for_reserve=" +
         std::to_string(passed.waits_for_reserve ? 1 : 0) +
         (passed.held_back_by
              ? " reserved_for=" + ToString(*passed.held_back_by)
              : "") +
         DescribeExamination(state, waiting, passed, now) +
         DescribeCap(state, waiting.ref) +
         (SpecOf(waiting.ref).best_effort
              ? ""
              : DescribeCapacityFor(state, waiting.ref, now));
}

void AddOverdueTasks(const ReadyKey& key,
                     TimePoint now,
                     WaitingSummary& summary) {
  const StepSpec& spec = key.iteration->job->spec.steps[key.step];
  const StepState& step = key.iteration->steps[key.step];
  if (!spec.long_running)
    return;
  for (const uint32_t index : step.ready_tasks) {
    const Task& task = step.tasks[index];
    if (!IsOverdue(spec, task, now))
      continue;
    ++summary.overdue_tasks;
    summary.longest_wait =
        std::max(summary.longest_wait, now - task.ready_since);
  }
}

}  // namespace

WaitingSummary SummarizeWaitingWork(const State& state, TimePoint now) {
  WaitingSummary summary;
  // By job, since several of its steps may wait.
  std::map<const Job*, TimePoint> starved_since;
  for (const ReadyKey& key : state.ready_steps) {
    AddOverdueTasks(key, now, summary);
    const auto oldest = OldestOf(key);
    const Job* job = key.iteration->job;
    if (!oldest || job->placed_tasks > 0 ||
        now - oldest->since < kMinLoggedWait)
      continue;
    const auto [entry, added] = starved_since.emplace(job, oldest->since);
    entry->second = std::min(entry->second, oldest->since);
  }
  summary.starved_jobs = starved_since.size();
  for (const auto& [job, since] : starved_since)
    summary.longest_starvation =
        std::max(summary.longest_starvation, now - since);
  return summary;
}

void LogWaitingTasks(State& state, TimePoint now) {
  if (now < state.next_waiting_log)
    return;
  state.next_waiting_log = now + kLogInterval;
  std::vector<WaitingTask> waiting;
  for (const ReadyKey& key : state.ready_steps) {
    const auto oldest = OldestOf(key);
    if (oldest && now - oldest->since >= kMinLoggedWait)
      waiting.push_back(*oldest);
  }
  // Short work waits in each queue; a long-running task must not, nor a job of
  // which nothing runs.
  const auto order_of = [](const WaitingTask& task) {
    return std::tuple(!SpecOf(task.ref).long_running,
                      task.ref.iteration->job->placed_tasks > 0, task.since);
  };
  const auto is_before = [&](const WaitingTask& a, const WaitingTask& b) {
    return order_of(a) < order_of(b);
  };
  const size_t count = std::min(waiting.size(), kMaxLoggedTasks);
  std::partial_sort(waiting.begin(),
                    waiting.begin() + static_cast<std::ptrdiff_t>(count),
                    waiting.end(), is_before);
  for (size_t i = 0; i < count; ++i)
    LogDecision(state, "run_waits", waiting[i].ref,
                Describe(state, waiting[i], now));
}

}  // namespace cowslipmast::sched
