#include "src/sched/worker_score.h"

#include <algorithm>
#include <limits>

#include "src/sched/crash_suspects.h"
#include "src/sched/jobs.h"
#include "src/sched/pacing.h"
#include "src/sched/workers.h"

namespace cowslipmast::sched {

namespace {

// Headroom, as utilisation, that a best-effort task must leave to the
// latency-critical tasks on its worker; below 0 it would be slowed down at
// once.
constexpr double kMinHeadroom = 0.0;
// Under load some opportunistic tasks keep jobs from starving, and show whether
// estimates of interference are too high; many of them would make many jobs
// late for few that are late already.
constexpr uint32_t kMaxOpportunisticTasksUnderLoad = 1;
constexpr Duration kOpportunisticIntervalUnderLoad = std::chrono::seconds(2);
constexpr uint32_t kUnlimited = std::numeric_limits<uint32_t>::max();
// The rule on jobs without a run holds up to a use of half of the processors.
constexpr double kMaxUseOfMostlyFree = 0.6;
// A job must have a run after 3 s while most of the capacity is free.
constexpr Duration kMaxWaitWithoutRun = std::chrono::seconds(2);
// Memory that opportunistic tasks leave to tasks that need it more.
constexpr double kMemoryLeftByOpportunistic = 0.25;
// Larger than differences in headroom and processor time.
constexpr double kPenaltyWithoutMemory = 100.0;
// Larger than any other difference between trusted workers.
constexpr double kOpportunisticPenalty = 5000.0;

double Millicores(MilliCores cpu) {
  return static_cast<double>(cpu.count());
}

// Score of a worker for a best-effort task; nothing if the task should wait
// instead. Headroom of the latency-critical tasks counts most.
std::optional<double> BestEffortScore(const State& state,
                                      const WorkerState& worker,
                                      const TaskRef& ref) {
  const BestEffortConditions conditions = CheckBestEffort(state, worker, ref);
  if (!conditions.has_idle_time || !conditions.has_headroom)
    return std::nullopt;
  return conditions.headroom + 0.5 * CpuShare(worker, IdleMillicores(worker));
}

uint32_t CountOpportunisticTasks(const WorkerState& worker) {
  return static_cast<uint32_t>(std::count_if(
      worker.tasks.begin(), worker.tasks.end(),
      [](const TaskRef& ref) { return TaskOf(ref).is_opportunistic; }));
}

// True if an opportunistic task leaves enough memory. The first one on a worker
// may leave less: a large task would else find no worker at all.
bool LeavesMemory(const WorkerState& worker, const StepSpec& spec) {
  const auto memory = static_cast<double>(worker.info.capacity.memory.count());
  const auto left =
      static_cast<double>((FreeCapacity(worker) - spec.need).memory.count());
  return left >= memory * kMemoryLeftByOpportunistic ||
         CountOpportunisticTasks(worker) == 0;
}

// Score of a worker for a best-effort task that starts opportunistically.
std::optional<double> OpportunisticScore(const State& state,
                                         const WorkerState& worker,
                                         const TaskRef& ref,
                                         OpportunisticLimits limits) {
  const StepSpec& spec = SpecOf(ref);
  if (CountOpportunisticTasks(worker) >= limits.max_tasks)
    return std::nullopt;
  const OpportunisticConditions conditions = CheckOpportunistic(worker, spec);
  const bool has_processors =
      limits.needs_room ? conditions.has_unused_time
                        : Millicores(worker.info.capacity.cpu) >=
                              Millicores(spec.need.cpu) * kMinIdleShareOfNeed;
  if (!has_processors || (limits.needs_room && !conditions.leaves_memory))
    return std::nullopt;
  return HeadroomBeside(state, worker, StepOf(ref).image, spec.need.cpu,
                        PacePriority::kOpportunistic) +
         CpuShare(worker, std::min(0.0, conditions.unused)) -
         (conditions.leaves_memory ? 0.0 : kPenaltyWithoutMemory) -
         kOpportunisticPenalty;
}

// Score of a worker for a latency-critical task. Tasks of one image are
// colocated and packed on few workers: a best-effort image interferes with some
// latency-critical images only, so it then finds workers where it interferes
// with none.
double ColocationScore(const WorkerState& worker, const TaskRef& ref) {
  double same = 0;
  double other = 0;
  for (const TaskRef& neighbour : worker.tasks) {
    const StepSpec& spec = SpecOf(neighbour);
    if (!spec.long_running || spec.best_effort)
      continue;
    if (StepOf(neighbour).image == StepOf(ref).image)
      same += 1;
    else
      other += 1;
  }
  const double colocation =
      same + other > 0 ? (same - other) / (same + other) : 0.0;
  return colocation + CpuShare(worker, Millicores(worker.long_running_cpu));
}

}  // namespace

bool HasWaitedWithoutRun(const TaskRef& ref, TimePoint now) {
  const Task& task = TaskOf(ref);
  const StepSpec& spec = SpecOf(ref);
  return spec.best_effort && task.phase == SchedulingPhase::kReady &&
         (ref.iteration->job->placed_tasks == 0 || spec.long_running) &&
         now - task.ready_since >= kMaxWaitWithoutRun;
}

OpportunisticLimits OpportunisticLimitsOf(const State& state,
                                          const TaskRef& ref,
                                          TimePoint now) {
  if (!HasWaitedWithoutRun(ref, now))
    return {};
  if (SpecOf(ref).long_running)
    return {.max_tasks = kUnlimited, .needs_room = false};
  const ReservedShares reserved =
      ReservedSharesOf(state, PolicyOf(state, *ref.iteration->job).service);
  if (reserved.processors < kMaxUseOfMostlyFree)
    return {.max_tasks = kUnlimited,
            .needs_room = reserved.memory >= kMaxUseOfMostlyFree};
  if (now < state.next_opportunistic_start)
    return {};
  return {.max_tasks = kMaxOpportunisticTasksUnderLoad};
}

OpportunisticLimits OpportunisticLimitsInOrder(const State& state,
                                               const TaskRef& ref,
                                               TimePoint now) {
  const StepSpec& spec = SpecOf(ref);
  return spec.long_running || spec.gang ? OpportunisticLimitsOf(state, ref, now)
                                        : OpportunisticLimits{};
}

void NoteOpportunisticStart(State& state, TimePoint now) {
  state.next_opportunistic_start = now + kOpportunisticIntervalUnderLoad;
}

BestEffortConditions CheckBestEffort(const State& state,
                                     const WorkerState& worker,
                                     const TaskRef& ref) {
  const StepSpec& spec = SpecOf(ref);
  BestEffortConditions conditions;
  conditions.has_idle_time = HasIdleTimeFor(worker, spec);
  if (!conditions.has_idle_time)
    return conditions;
  conditions.headroom = HeadroomBeside(state, worker, StepOf(ref).image,
                                       spec.need.cpu, PacePriority::kNormal);
  conditions.has_headroom = conditions.headroom >= kMinHeadroom;
  return conditions;
}

OpportunisticConditions CheckOpportunistic(const WorkerState& worker,
                                           const StepSpec& spec) {
  const double need = Millicores(spec.need.cpu);
  const double unused =
      MillicoresForOpportunistic(worker) - OpportunisticNeed(worker) - need;
  return {.unused = unused,
          .has_unused_time = unused >= -need * (1 - kMinIdleShareOfNeed),
          .leaves_memory = LeavesMemory(worker, spec)};
}

ReservedShares ReservedSharesOf(const State& state, const ServiceId& service) {
  Resources capacity;
  Resources reserved;
  for (const WorkerState& worker : state.workers) {
    if (worker.info.service != service || !worker.listed)
      continue;
    capacity += worker.info.capacity;
    reserved += worker.reserved;
  }
  const auto share = [](auto part, auto whole) {
    return static_cast<double>(part.count()) /
           std::max(1.0, static_cast<double>(whole.count()));
  };
  return {.processors = share(reserved.cpu, capacity.cpu),
          .memory = share(reserved.memory, capacity.memory)};
}

std::optional<double> ScoreOf(const State& state,
                              const WorkerState& worker,
                              const TaskRef& ref,
                              OpportunisticLimits opportunistic) {
  const StepSpec& spec = SpecOf(ref);
  // Away from the rack of its data a task takes twice as long, so any suitable
  // worker on that rack is better than the best one elsewhere.
  const bool is_far_from_data =
      !spec.data_rack.empty() && worker.info.rack != spec.data_rack;
  const double penalty = (is_far_from_data ? -1000.0 : 0.0) -
                         IsolationPenalty(worker, TaskOf(ref));
  if (spec.best_effort) {
    auto score = BestEffortScore(state, worker, ref);
    if (!score)
      score = OpportunisticScore(state, worker, ref, opportunistic);
    return score ? std::optional(penalty + *score) : std::nullopt;
  }
  if (spec.long_running && spec.latency_target.count() > 0)
    return penalty + ColocationScore(worker, ref);
  // The fullest worker with enough capacity: the free capacity of the others
  // stays in pieces that are large enough for long-running tasks.
  return penalty + CpuShare(worker, Millicores(worker.reserved.cpu));
}

}  // namespace cowslipmast::sched
