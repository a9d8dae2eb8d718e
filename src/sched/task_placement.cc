#include "src/sched/task_placement.h"

#include <algorithm>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "src/sched/assignment.h"
#include "src/sched/capacity_holds.h"
#include "src/sched/crash_suspects.h"
#include "src/sched/health.h"
#include "src/sched/jobs.h"
#include "src/sched/jobs_without_run.h"
#include "src/sched/kept_capacity.h"
#include "src/sched/order.h"
#include "src/sched/overload_order.h"
#include "src/sched/pacing.h"
#include "src/sched/relocation.h"
#include "src/sched/reservations.h"
#include "src/sched/step_name.h"
#include "src/sched/unplaced_steps.h"
#include "src/sched/worker_score.h"
#include "src/sched/workers.h"
#include "src/sched/workspace_caps.h"

namespace cowslipmast::sched {

namespace {

// Share of a service's processors that long-running tasks may reserve. Short
// urgent work needs about 5% of the capacity of the first deployments, in large
// pieces.
constexpr double kMaxLongRunningShare = 0.92;
// Larger than any score.
constexpr double kUntrustedPenalty = 10000.0;
// Number of steps of one priority and rank that may fail to be placed before
// the plan goes on with the steps that earlier plans left out, and of these
// before the rest is left out; bounds the time to make a plan while many steps
// wait. Steps that are skipped because they need at least as much as an
// unplaced one do not count.
constexpr size_t kMaxUnplacedSteps = 24;

double Millicores(MilliCores cpu) {
  return static_cast<double>(cpu.count());
}

bool HasCapacity(const State& state,
                 const WorkerState& worker,
                 const TaskRef& ref,
                 TimePoint now) {
  return Fits(
      ReservedBy(SpecOf(ref)),
      FreeCapacityFor(state, worker, ref, now) - KeptFrom(state, worker, ref));
}

// True if the long-running tasks of the service, with one more of this step,
// stay within their share of its processors.
bool StaysWithinLongRunningShare(const State& state,
                                 const ServiceId& service,
                                 const StepSpec& spec) {
  double capacity = 0;
  double long_running_millicores = Millicores(spec.need.cpu);
  for (const WorkerState& worker : state.workers) {
    if (worker.info.service != service || !worker.listed)
      continue;
    capacity += Millicores(worker.info.capacity.cpu);
    long_running_millicores += Millicores(worker.long_running_cpu);
  }
  return long_running_millicores <= capacity * kMaxLongRunningShare;
}

uint32_t CountTasksOfStep(const WorkerState& worker, const TaskRef& ref) {
  return static_cast<uint32_t>(std::count_if(
      worker.tasks.begin(), worker.tasks.end(), [&ref](const TaskRef& other) {
        return other.iteration == ref.iteration && other.step == ref.step;
      }));
}

struct PlacementQuery {
  const StepSpec& spec;
  const QueuePolicy& policy;
  const TaskRef& ref;
  bool last_attempt = false;
  bool is_overdue = false;  // long-running; untrusted workers will do
  bool must_wait = false;   // leaves the remaining capacity to short work
  OpportunisticLimits opportunistic = {};
  const RackId* rack = nullptr;  // only this rack, if set
};

// True if neither the label nor the number of the step's tasks there keeps the
// task off the worker.
bool AllowsTask(const WorkerState& worker, const PlacementQuery& query) {
  return HasLabel(worker, query.spec.label) &&
         (query.spec.max_per_worker == 0 ||
          CountTasksOfStep(worker, query.ref) < query.spec.max_per_worker);
}

bool IsSuitable(const State& state,
                const WorkerState& worker,
                const PlacementQuery& query,
                TimePoint now) {
  return worker.info.service == query.policy.service &&
         HasCapacity(state, worker, query.ref, now) &&
         EligibilityOf(state, worker, now) == WorkerEligibility::kEligible &&
         (query.is_overdue ||
          IsTrusted(worker, query.policy.priority, query.last_attempt, now)) &&
         (query.rack == nullptr || worker.info.rack == *query.rack) &&
         AllowsTask(worker, query) &&
         FindBlockingReservation(state, worker, query.ref, now) == nullptr;
}

int32_t BestWorker(const State& state,
                   const PlacementQuery& query,
                   TimePoint now) {
  if (query.must_wait)
    return kNoWorker;
  int32_t best = kNoWorker;
  double best_score = 0;
  for (size_t i = 0; i < state.workers.size(); ++i) {
    const WorkerState& worker = state.workers[i];
    if (!IsSuitable(state, worker, query, now))
      continue;
    const auto score = ScoreOf(state, worker, query.ref, query.opportunistic);
    if (score && (best == kNoWorker || *score > best_score)) {
      best = static_cast<int32_t>(i);
      best_score = *score;
    }
  }
  return best;
}

PlacementQuery MakeQuery(const State& state,
                         const TaskRef& ref,
                         TimePoint now) {
  const QueuePolicy& policy = PolicyOf(state, *ref.iteration->job);
  const StepSpec& spec = SpecOf(ref);
  const Task& task = TaskOf(ref);
  // The reserve for short work may delay a long-running task, but not keep it
  // from running: an overdue one takes any capacity.
  const bool is_overdue = IsOverdue(spec, task, now);
  return PlacementQuery{
      .spec = spec,
      .policy = policy,
      .ref = ref,
      .last_attempt = IsLastAttempt(policy, spec, task),
      .is_overdue = is_overdue,
      .must_wait = spec.long_running && !spec.best_effort && !is_overdue &&
                   !StaysWithinLongRunningShare(state, policy.service, spec),
      .opportunistic = OpportunisticLimitsInOrder(state, ref, now)};
}

struct ScoredWorker {
  double score = 0;
  int32_t worker = kNoWorker;

  // Of equal workers the first one is better.
  bool operator<(const ScoredWorker& other) const {
    return score != other.score ? score < other.score : worker > other.worker;
  }
};

// Workers for the tasks of one step, as a heap with the best one on top. All
// are scored once for a step instead of once for each of its tasks; a placement
// changes the score of one worker only.
struct WorkerHeap {
  bool last_attempt = false;
  bool is_overdue = false;
  bool is_suspect = false;
  OpportunisticLimits opportunistic;
  std::vector<ScoredWorker> workers;
};

void PushIfSuitable(const State& state,
                    const PlacementQuery& query,
                    int32_t worker,
                    TimePoint now,
                    WorkerHeap& heap) {
  const WorkerState& worker_state = state.workers[static_cast<size_t>(worker)];
  if (!IsSuitable(state, worker_state, query, now))
    return;
  if (const auto score =
          ScoreOf(state, worker_state, query.ref, query.opportunistic)) {
    // An overdue task goes to a worker that fails its runs only if no other one
    // has capacity, and a last attempt to one with an earlier failure.
    const bool trusted =
        IsTrusted(worker_state, query.policy.priority, query.last_attempt,
                  now) &&
        !(query.last_attempt && worker_state.health.failure_streak > 0);
    heap.workers.push_back(
        {*score - (trusted ? 0.0 : kUntrustedPenalty), worker});
    std::push_heap(heap.workers.begin(), heap.workers.end());
  }
}

WorkerHeap MakeWorkerHeap(const State& state,
                          const PlacementQuery& query,
                          TimePoint now) {
  WorkerHeap heap{.last_attempt = query.last_attempt,
                  .is_overdue = query.is_overdue,
                  .is_suspect = IsSuspect(TaskOf(query.ref)),
                  .opportunistic = query.opportunistic,
                  .workers = {}};
  for (size_t i = 0; i < state.workers.size(); ++i)
    PushIfSuitable(state, query, static_cast<int32_t>(i), now, heap);
  return heap;
}

struct StepPlacement {
  bool is_complete = false;  // nothing of the step waits any more
  /** The task that asks least of a worker of those that found none; nothing if
   * workers were looked at for none of the tasks that wait on. */
  std::optional<TaskRef> without_worker;
};

bool IsLongRunning(const ReadyKey& key) {
  return key.iteration->job->spec.steps[key.step].long_running;
}

// True if the step's next task belongs behind those for which the key was made:
// tasks of other steps may go first.
bool BelongsLater(const State& state, const ReadyKey& key, TimePoint now) {
  return IsLongRunning(key) &&
         key < MakeReadyKey(state, *key.iteration, key.step, now);
}

// Places the step's waiting tasks one by one, as long as no task of another
// step may go first.
StepPlacement PlaceTasks(State& state,
                         const ReadyKey& key,
                         TimePoint now,
                         Plan& plan) {
  StepState& step = key.iteration->steps[key.step];
  StepPlacement result;
  std::optional<WorkerHeap> heap;
  std::vector<uint32_t> unplaced;
  while (!step.ready_tasks.empty()) {
    if (unplaced.empty() && BelongsLater(state, key, now))
      break;
    const uint32_t index = step.ready_tasks.back();
    const TaskRef ref{key.iteration, key.step, index};
    step.ready_tasks.pop_back();
    if (TaskOf(ref).phase != SchedulingPhase::kReady)
      continue;
    if (IsHeldBack(state, ref)) {
      unplaced.push_back(index);
      continue;
    }
    if (CheckCap(state, ref) != CapVerdict::kAllowed) {
      unplaced.push_back(index);
      break;
    }
    const PlacementQuery query = MakeQuery(state, ref, now);
    const bool is_scored = heap && heap->last_attempt == query.last_attempt &&
                           heap->is_overdue == query.is_overdue &&
                           heap->is_suspect == IsSuspect(TaskOf(ref)) &&
                           heap->opportunistic == query.opportunistic;
    if (!is_scored && !query.must_wait)
      heap = MakeWorkerHeap(state, query, now);
    if (query.must_wait || heap->workers.empty()) {
      unplaced.push_back(index);
      result.without_worker = ref;
      // Only tasks on their last attempt ask more of a worker than the others.
      if (!query.last_attempt)
        break;
      continue;
    }
    std::pop_heap(heap->workers.begin(), heap->workers.end());
    const int32_t worker = heap->workers.back().worker;
    heap->workers.pop_back();
    PlanStart(state, ref, worker, now, plan);
    PushIfSuitable(state, query, worker, now, *heap);
  }
  step.ready_tasks.insert(step.ready_tasks.end(), unplaced.rbegin(),
                          unplaced.rend());
  result.is_complete = step.ready_tasks.empty();
  return result;
}

// Chooses workers for all members on one rack, or on any if `rack` is null.
// False if not all of them fit. The trial assignments are undone.
bool TryPlaceGang(State& state,
                  const ReadyKey& key,
                  const RackId* rack,
                  TimePoint now,
                  std::vector<int32_t>& chosen_workers) {
  StepState& step = key.iteration->steps[key.step];
  chosen_workers.clear();
  bool complete = true;
  // With a member assigned, the job no longer counts as one without a run.
  const OpportunisticLimits opportunistic =
      OpportunisticLimitsOf(state, TaskRef{key.iteration, key.step, 0}, now);
  for (uint32_t index = 0; index < step.tasks.size() && complete; ++index) {
    const TaskRef ref{key.iteration, key.step, index};
    PlacementQuery query = MakeQuery(state, ref, now);
    query.rack = rack;
    query.opportunistic = opportunistic;
    const int32_t worker = BestWorker(state, query, now);
    complete = worker != kNoWorker;
    if (complete) {
      chosen_workers.push_back(worker);
      AssignToWorker(state, ref, worker);
    }
  }
  for (uint32_t index = 0; index < chosen_workers.size(); ++index)
    UnassignTask(state, TaskRef{key.iteration, key.step, index});
  return complete;
}

std::vector<RackId> RacksOf(const State& state, const RackId& first) {
  std::vector<RackId> racks;
  for (const WorkerState& worker : state.workers) {
    if (std::find(racks.begin(), racks.end(), worker.info.rack) == racks.end())
      racks.push_back(worker.info.rack);
  }
  std::stable_partition(racks.begin(), racks.end(),
                        [&first](const RackId& rack) { return rack == first; });
  return racks;
}

bool FindGangWorkers(State& state,
                     const ReadyKey& key,
                     TimePoint now,
                     std::vector<int32_t>& chosen_workers) {
  const StepSpec& spec = key.iteration->job->spec.steps[key.step];
  if (spec.same_rack) {
    for (const RackId& rack : RacksOf(state, spec.data_rack)) {
      if (TryPlaceGang(state, key, &rack, now, chosen_workers))
        return true;
    }
  }
  return TryPlaceGang(state, key, nullptr, now, chosen_workers);
}

StepPlacement PlaceGang(State& state,
                        const ReadyKey& key,
                        TimePoint now,
                        Plan& plan) {
  StepState& step = key.iteration->steps[key.step];
  if (step.ready_tasks.empty())
    return {.is_complete = true, .without_worker = std::nullopt};
  const TaskRef first{key.iteration, key.step, 0};
  const bool all_wait = std::all_of(
      step.tasks.begin(), step.tasks.end(),
      [](const Task& task) { return task.phase == SchedulingPhase::kReady; });
  if (!all_wait || IsHeldBack(state, first) || IsHeldBackByCap(state, key))
    return {.is_complete = false, .without_worker = std::nullopt};
  std::vector<int32_t> chosen_workers;
  if (!FindGangWorkers(state, key, now, chosen_workers))
    return {.is_complete = false, .without_worker = first};
  step.ready_tasks.clear();
  // Members share the run number and the checkpoint of one of them.
  RunNumber run;
  std::string checkpoint;
  for (const Task& task : step.tasks) {
    run = std::max(run, task.run);
    checkpoint = std::max(checkpoint, task.checkpoint);
  }
  for (uint32_t index = 0; index < step.tasks.size(); ++index) {
    step.tasks[index].run = run;
    step.tasks[index].checkpoint = checkpoint;
    PlanStart(state, TaskRef{key.iteration, key.step, index},
              chosen_workers[index], now, plan);
  }
  return {.is_complete = true, .without_worker = std::nullopt};
}

StepPlacement PlaceStep(State& state,
                        const ReadyKey& key,
                        TimePoint now,
                        Plan& plan) {
  if (key.iteration->job->ended_at)
    return {.is_complete = true, .without_worker = std::nullopt};
  if (key.iteration->job->spec.steps[key.step].gang)
    return PlaceGang(state, key, now, plan);
  return PlaceTasks(state, key, now, plan);
}

// True if a reservation alone keeps the task off some worker. Such a task says
// nothing of others: they may end in time, or hold the reservation.
bool IsHeldBackByReservation(const State& state,
                             const TaskRef& ref,
                             TimePoint now) {
  const auto& reservations = state.look_ahead.reservations;
  return std::any_of(
      reservations.begin(), reservations.end(), [&](const Reservation& r) {
        const WorkerState& worker =
            state.workers[static_cast<size_t>(r.worker)];
        return HasCapacity(state, worker, ref, now) &&
               FindBlockingReservation(state, worker, ref, now) != nullptr &&
               MayRunOn(state, worker, ref, now);
      });
}

// Searches for one plan, each at the cost of a look at the workers.
constexpr size_t kMaxReservationSearches = 2;

// Reserves capacity for the first of the steps that found none.
void ReserveForUnplaced(State& state,
                        const std::vector<ReadyKey>& unplaced,
                        TimePoint now) {
  size_t searches = 0;
  for (const ReadyKey& key : unplaced) {
    const StepState& step = key.iteration->steps[key.step];
    if (step.ready_tasks.empty() || searches >= kMaxReservationSearches)
      continue;
    const TaskRef ref{key.iteration, key.step, step.ready_tasks.back()};
    if (IsHeldBack(state, ref) || MakeQuery(state, ref, now).must_wait)
      continue;
    searches += ReserveForStep(state, key, now) ? 1 : 0;
  }
}

// Lost tasks that now fit where capacity was held for them. They may be less
// urgent than others, but one that has waited for longer is placed first.
void PlaceOnHeldCapacity(State& state, TimePoint now, Plan& plan) {
  const std::vector<StepName> held = FindStepsWithFreeHold(state);
  if (held.empty())
    return;
  for (const ReadyKey& key : FindLostSteps(state, now)) {
    const std::vector<uint32_t>& ready =
        key.iteration->steps[key.step].ready_tasks;
    if (ready.empty())
      continue;
    const TaskRef next{key.iteration, key.step, ready.back()};
    const bool has_hold =
        std::find(held.begin(), held.end(), NameOfStep(key)) != held.end();
    if (has_hold || FitsOnHeldCapacity(state, next, now))
      PlaceStep(state, key, now, plan);
  }
}

// Steps of one priority and rank that a plan could not place.
struct UnplacedCount {
  size_t count = 0;
  bool has_resumed = false;   // at the step where the last plan left off
  bool has_left_out = false;  // steps for the next plan
};
using UnplacedCounts = std::map<std::pair<uint32_t, uint32_t>, UnplacedCount>;

// The step to go on with after too many unplaced ones: those that the last plan
// left out come first, then the next rank or priority.
std::set<ReadyKey>::iterator SkipSteps(State& state,
                                       const ReadyKey& key,
                                       UnplacedCount& unplaced) {
  const std::pair rank(key.priority, key.rank);
  if (!std::exchange(unplaced.has_resumed, true)) {
    unplaced.count = 0;
    const auto resume = state.resume_at.find(rank);
    // Without a later step to resume at, the rest follows here.
    return resume == state.resume_at.end() || resume->second < key
               ? state.ready_steps.find(key)
               : state.ready_steps.lower_bound(resume->second);
  }
  unplaced.has_left_out = true;
  state.resume_at.insert_or_assign(rank, key);
  return state.ready_steps.lower_bound(
      ReadyKey{.priority = key.priority, .rank = key.rank + 1});
}

bool BecameLate(const ReadyKey& before, const ReadyKey& now) {
  const auto late = static_cast<uint32_t>(ReadyRank::kLate);
  return before.rank != late && now.rank == late;
}

// A rank that was planned to its end starts again after its first steps.
void ForgetFinishedRanks(State& state, const UnplacedCounts& unplaced) {
  std::erase_if(state.resume_at, [&unplaced](const auto& entry) {
    const auto found = unplaced.find(entry.first);
    return found == unplaced.end() || !found->second.has_left_out;
  });
}

void CountBestEffortConditions(const State& state,
                               const WorkerState& worker,
                               const TaskRef& ref,
                               PlacementConditions& passed) {
  const OpportunisticConditions opportunistic =
      CheckOpportunistic(worker, SpecOf(ref));
  passed.with_unused_time += opportunistic.has_unused_time ? 1 : 0;
  passed.leaving_memory += opportunistic.leaves_memory ? 1 : 0;
  const BestEffortConditions conditions = CheckBestEffort(state, worker, ref);
  if (!conditions.has_idle_time)
    return;
  ++passed.with_idle_time;
  passed.with_headroom += conditions.has_headroom ? 1 : 0;
  passed.best_headroom = std::max(
      passed.best_headroom.value_or(conditions.headroom), conditions.headroom);
}

}  // namespace

std::vector<ReadyKey> FindLostSteps(const State& state, TimePoint now) {
  const auto lost = static_cast<uint32_t>(ReadyRank::kLost);
  std::vector<ReadyKey> steps;
  for (auto next = state.ready_steps.begin();
       next != state.ready_steps.end();) {
    if (next->rank > lost) {
      next = state.ready_steps.lower_bound(
          ReadyKey{.priority = next->priority + 1});
      continue;
    }
    steps.push_back(MakeReadyKey(state, *next->iteration, next->step, now));
    ++next;
  }
  std::sort(steps.begin(), steps.end());
  return steps;
}

bool HasLabel(const WorkerState& worker, const std::string& label) {
  return label.empty() ||
         std::find(worker.info.labels.begin(), worker.info.labels.end(),
                   label) != worker.info.labels.end();
}

int32_t FindWorkerForTask(const State& state,
                          const TaskRef& ref,
                          TimePoint now) {
  if (IsHeldBack(state, ref))
    return kNoWorker;
  return BestWorker(state, MakeQuery(state, ref, now), now);
}

int32_t FindWorkerOrOpportunity(const State& state,
                                const TaskRef& ref,
                                TimePoint now) {
  if (IsHeldBack(state, ref))
    return kNoWorker;
  PlacementQuery query = MakeQuery(state, ref, now);
  query.opportunistic = OpportunisticLimitsOf(state, ref, now);
  return BestWorker(state, query, now);
}

bool MayRunOn(const State& state,
              const WorkerState& worker,
              const TaskRef& ref,
              TimePoint now) {
  const QueuePolicy& policy = PolicyOf(state, *ref.iteration->job);
  const StepSpec& spec = SpecOf(ref);
  const Task& task = TaskOf(ref);
  // Without what `MakeQuery` finds by looking at all workers.
  const PlacementQuery query{.spec = spec,
                             .policy = policy,
                             .ref = ref,
                             .last_attempt = IsLastAttempt(policy, spec, task),
                             .is_overdue = IsOverdue(spec, task, now)};
  return worker.info.service == policy.service &&
         EligibilityOf(state, worker, now) == WorkerEligibility::kEligible &&
         (query.is_overdue ||
          IsTrusted(worker, policy.priority, query.last_attempt, now)) &&
         AllowsTask(worker, query);
}

PlacementConditions CheckPlacement(const State& state,
                                   const TaskRef& ref,
                                   TimePoint now) {
  const PlacementQuery query = MakeQuery(state, ref, now);
  PlacementConditions passed;
  passed.waits_for_reserve = query.must_wait;
  passed.opportunistic = OpportunisticLimitsOf(state, ref, now);
  for (const WorkerState& worker : state.workers) {
    if (!worker.listed || worker.info.service != query.policy.service)
      continue;
    ++passed.listed;
    if (EligibilityOf(state, worker, now) != WorkerEligibility::kEligible)
      continue;
    ++passed.eligible;
    if (!AllowsTask(worker, query))
      continue;
    ++passed.suitable;
    if (!HasCapacity(state, worker, ref, now))
      continue;
    ++passed.with_capacity;
    if (!IsTrusted(worker, query.policy.priority, query.last_attempt, now))
      continue;
    ++passed.trusted;
    if (query.spec.best_effort)
      CountBestEffortConditions(state, worker, ref, passed);
    if (const Reservation* reservation =
            FindBlockingReservation(state, worker, ref, now))
      passed.held_back_by = reservation->step;
  }
  return passed;
}

void PlanStart(State& state,
               const TaskRef& ref,
               int32_t worker,
               TimePoint now,
               Plan& plan) {
  Task& task = TaskOf(ref);
  Job& job = *ref.iteration->job;
  UpdateReservationsForStart(state, ref, worker, now);
  // The start of a relocated task must not end the hold of another task of its
  // step.
  if (!EndRelocationForStart(state, ref))
    EndHoldForStart(state, ref, worker);
  task.phase = SchedulingPhase::kPlanned;
  task.run = task.run.Next();
  job.may_have_started = true;
  job.last_start = now;
  WorkerState& worker_state = state.workers[static_cast<size_t>(worker)];
  const bool is_opportunistic =
      SpecOf(ref).best_effort &&
      !CheckBestEffort(state, worker_state, ref).has_headroom;
  AssignToWorker(state, ref, worker);
  task.is_opportunistic = is_opportunistic;
  if (is_opportunistic)
    NoteOpportunisticStart(state, now);
  if (SpecOf(ref).best_effort)
    SetTargetPaces(state, worker);
  // A long-running task does not end, so as a probe it would keep all other
  // tasks off the worker for ever.
  if (worker_state.health.avoid_until && !SpecOf(ref).long_running) {
    const uint32_t priority = PolicyOf(state, job).priority;
    std::optional<uint32_t>& probe = worker_state.health.probe_priority;
    probe = std::min(probe.value_or(priority), priority);
  }
  MarkDirty(state, *ref.iteration);
  plan.starts.push_back(StartRunCommand{.worker = CurrentInstance(worker_state),
                                        .task = NameOf(ref),
                                        .run = task.run,
                                        .payload = job.spec.payload,
                                        .checkpoint = task.checkpoint});
  LogDecision(state, "run_planned", ref,
              is_opportunistic ? "opportunistic" : "");
}

namespace {

// Moves the step behind others that come next, and returns the next one.
std::set<ReadyKey>::iterator MoveLater(State& state,
                                       std::set<ReadyKey>::iterator step,
                                       const ReadyKey& later) {
  state.ready_steps.insert(later);
  return state.ready_steps.erase(step);
}

// Long-running steps go where they belong by now before any of them is placed.
void ReorderLongRunningSteps(State& state, TimePoint now) {
  std::vector<ReadyKey> moved;
  std::erase_if(state.ready_steps, [&](const ReadyKey& key) {
    const StepSpec& spec = key.iteration->job->spec.steps[key.step];
    if (!spec.long_running)
      return false;
    OrderReadyTasks(spec, key.iteration->steps[key.step], now);
    const ReadyKey current = MakeReadyKey(state, *key.iteration, key.step, now);
    if (!(key < current) && !(current < key))
      return false;
    moved.push_back(current);
    return true;
  });
  state.ready_steps.insert(moved.begin(), moved.end());
}

}  // namespace

void PlaceReadyTasks(State& state, TimePoint now, Plan& plan) {
  if (state.options.features.overload_order)
    GiveTurnToLateWork(state, now);
  UnplacedSteps unplaced_steps;
  UnplacedCounts unplaced_counts;
  std::vector<ReadyKey> reordered;
  const bool looks_ahead = state.options.features.look_ahead;
  std::vector<ReadyKey> to_reserve;
  if (looks_ahead)
    ReviewReservations(state, now);
  ReviewHolds(state, now);
  ReorderLongRunningSteps(state, now);
  PlaceRelocatedTasks(state, now, plan);
  PlaceOnHeldCapacity(state, now, plan);
  state.kept_capacity.clear();
  bool has_kept = false;
  for (auto next = state.ready_steps.begin();
       next != state.ready_steps.end();) {
    const ReadyKey key = *next;
    UnplacedCount& unplaced = unplaced_counts[{key.priority, key.rank}];
    if (unplaced.count >= kMaxUnplacedSteps) {
      next = SkipSteps(state, key, unplaced);
      continue;
    }
    const ReadyKey current = MakeReadyKey(state, *key.iteration, key.step, now);
    if (key < current && IsLongRunning(key)) {
      next = MoveLater(state, next, current);
      continue;
    }
    if (key < current || current < key) {
      state.counters.late_steps += BecameLate(key, current) ? 1 : 0;
      reordered.push_back(current);
      next = state.ready_steps.erase(next);
      continue;
    }
    StepState& step = key.iteration->steps[key.step];
    step.examined_at = now;
    if (!has_kept && IsNewLongRunning(key)) {
      has_kept = true;
      KeepForTasksThatHadRuns(state, now);
    }
    // Says nothing of the steps of other workspaces, which may have room.
    if (IsHeldBackByCap(state, key)) {
      step.is_ruled_out = false;
      ++next;
      continue;
    }
    step.is_ruled_out =
        CountHolds(state, key) == 0 && unplaced_steps.RulesOut(state, key, now);
    if (step.is_ruled_out) {
      ++next;
      continue;
    }
    const StepPlacement placement = PlaceStep(state, key, now, plan);
    if (placement.is_complete) {
      next = state.ready_steps.erase(next);
      continue;
    }
    if (BelongsLater(state, key, now)) {
      next = MoveLater(state, next,
                       MakeReadyKey(state, *key.iteration, key.step, now));
      continue;
    }
    if (placement.without_worker && !IsHeldBackByCap(state, key)) {
      if (!IsHeldBackByReservation(state, *placement.without_worker, now))
        unplaced_steps.Add(state, *placement.without_worker, now);
      if (looks_ahead)
        to_reserve.push_back(key);
      ++unplaced.count;
    }
    ++next;
  }
  ReserveForUnplaced(state, to_reserve, now);
  ForgetFinishedRanks(state, unplaced_counts);
  state.ready_steps.insert(reordered.begin(), reordered.end());
  HoldForOverdueTasks(state, now);
  if (!reordered.empty())
    state.needs_plan = true;
  StartJobsWithoutRun(state, now, plan);
}

}  // namespace cowslipmast::sched
