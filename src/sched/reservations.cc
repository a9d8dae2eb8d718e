#include "src/sched/reservations.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "src/sched/assignment.h"
#include "src/sched/expected_ends.h"
#include "src/sched/jobs.h"
#include "src/sched/order.h"
#include "src/sched/step_name.h"
#include "src/sched/task_placement.h"
#include "src/sched/workers.h"

namespace cowslipmast::sched {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Shorter waits end by themselves while tasks of all sizes come and go.
constexpr Duration kMinWait = milliseconds(200);
// A task is large if it needs at least this share of a worker, and this many
// times what short tasks need on average: the ends of single ones leave no
// room.
constexpr double kLargeShare = 0.2;
constexpr int64_t kLargeFactor = 2;
// Ends are known once a worker is listed.
constexpr Duration kMinTolerance = milliseconds(800);
// After a failed reservation, so that other work gets the capacity in between.
constexpr Duration kRetryAfterFailure = seconds(2);
constexpr Duration kSearchInterval = milliseconds(300);
constexpr size_t kMaxReservations = 16;
// Bounds the cost of one search.
constexpr size_t kMaxWorkersPerSearch = 256;

Resources Times(const Resources& need, size_t count) {
  const auto factor = static_cast<int64_t>(count);
  return Resources{.cpu = need.cpu * factor,
                   .memory = need.memory * factor,
                   .accelerators = need.accelerators * factor};
}

bool IsReserved(const State& state, int32_t worker) {
  const auto& reservations = state.look_ahead.reservations;
  return std::any_of(reservations.begin(), reservations.end(),
                     [worker](const Reservation& reservation) {
                       return reservation.worker == worker;
                     });
}

// Mean need of the short tasks that run on some of the workers; what a large
// task competes with.
Resources MeanShortNeed(const State& state, size_t first, size_t count) {
  Resources total;
  int64_t tasks = 0;
  for (size_t i = 0; i < count; ++i) {
    const size_t index = (first + i) % state.workers.size();
    for (const TaskRef& ref : state.workers[index].tasks) {
      const StepSpec& spec = SpecOf(ref);
      if (spec.long_running || spec.best_effort)
        continue;
      total += spec.need;
      ++tasks;
    }
  }
  if (tasks == 0)
    return {};
  return Resources{.cpu = MilliCores(total.cpu.count() / tasks),
                   .memory = Mebibytes(total.memory.count() / tasks),
                   .accelerators = {}};
}

bool IsLarge(const StepSpec& spec,
             const WorkerState& worker,
             const Resources& mean) {
  const auto exceeds = [](int64_t need, int64_t capacity, int64_t usual) {
    return static_cast<double>(need) >=
               static_cast<double>(capacity) * kLargeShare &&
           need >= usual * kLargeFactor;
  };
  const Resources& need = spec.need;
  const Resources& capacity = worker.info.capacity;
  return spec.gang || need.accelerators.count() > 0 ||
         exceeds(need.cpu.count(), capacity.cpu.count(), mean.cpu.count()) ||
         exceeds(need.memory.count(), capacity.memory.count(),
                 mean.memory.count());
}

// How many tasks of the step one worker may take.
size_t MaxTasksPerWorker(const StepSpec& spec) {
  if (!spec.gang)
    return 1;
  return spec.max_per_worker > 0 ? spec.max_per_worker : spec.count;
}

std::vector<Slot> FindSlots(State& state, const TaskRef& ref, TimePoint now) {
  const StepSpec& spec = SpecOf(ref);
  const size_t total = state.workers.size();
  std::vector<Slot> slots;
  const size_t first = state.look_ahead.next_worker;
  const size_t looked_at = std::min(total, kMaxWorkersPerSearch);
  const Resources mean = MeanShortNeed(state, first, looked_at);
  for (size_t i = 0; i < looked_at; ++i) {
    const size_t index = (first + i) % total;
    const WorkerState& worker = state.workers[index];
    const auto worker_index = static_cast<int32_t>(index);
    if (IsLarge(spec, worker, mean) && Fits(spec.need, worker.info.capacity) &&
        MayRunOn(state, worker, ref, now) && !IsReserved(state, worker_index))
      AddSlots(state, worker_index, spec.need, MaxTasksPerWorker(spec), now,
               slots);
  }
  state.look_ahead.next_worker = total > 0 ? (first + looked_at) % total : 0;
  std::stable_sort(
      slots.begin(), slots.end(),
      [](const Slot& a, const Slot& b) { return a.from < b.from; });
  return slots;
}

// Keeps the slots of the rack on which `count` tasks fit first. False if they
// fit on none.
bool KeepFirstRack(std::vector<Slot>& slots, size_t count) {
  std::map<RackId, size_t> fitting;
  for (const Slot& slot : slots) {
    if (++fitting[slot.rack] < count)
      continue;
    const RackId rack = slot.rack;
    std::erase_if(slots, [&rack](const Slot& s) { return s.rack != rack; });
    return true;
  }
  return false;
}

// What is expected to be left beside the reserved need at its start.
Resources SurplusAt(const State& state,
                    const WorkerState& worker,
                    const Reservation& reservation,
                    TimePoint now) {
  Resources free = FreeCapacity(worker);
  for (const CapacityChange& change : ExpectedChanges(state, worker, now)) {
    if (change.at <= reservation.expected_start)
      free += change.freed;
  }
  return free - reservation.need;
}

void AddReservations(State& state,
                     const ReadyKey& key,
                     const std::vector<Slot>& slots,
                     TimePoint now) {
  const StepSpec& spec = key.iteration->job->spec.steps[key.step];
  const TimePoint start = slots.back().from;
  const Duration tolerance = std::max(kMinTolerance, (start - now) / 2);
  std::map<int32_t, size_t> tasks;
  for (const Slot& slot : slots)
    ++tasks[slot.worker];
  for (const auto& [worker, count] : tasks) {
    Reservation reservation{.step = NameOfStep(key),
                            .worker = worker,
                            .need = Times(spec.need, count),
                            .priority = key.priority,
                            .rank = key.rank,
                            .expected_start = start,
                            .ends_at = start + tolerance,
                            .surplus = {}};
    reservation.surplus = SurplusAt(
        state, state.workers[static_cast<size_t>(worker)], reservation, now);
    state.look_ahead.reservations.push_back(std::move(reservation));
  }
}

enum class Renewal { kRenewed, kWorkerLost, kTooLate };

// Renews the expectation, unless it can no longer be met.
Renewal Renew(const State& state, Reservation& reservation, TimePoint now) {
  const auto ref = FindWaitingTask(state, reservation.step);
  const WorkerState& worker =
      state.workers[static_cast<size_t>(reservation.worker)];
  if (!ref || now >= reservation.ends_at)
    return Renewal::kTooLate;
  if (!MayRunOn(state, worker, *ref, now) ||
      !Fits(reservation.need, worker.info.capacity))
    return Renewal::kWorkerLost;
  std::vector<Slot> slots;
  AddSlots(state, reservation.worker, reservation.need, 1, now, slots);
  if (slots.empty() || slots.front().from > reservation.ends_at)
    return Renewal::kTooLate;
  // A gang starts with its last member.
  if (!SpecOf(*ref).gang || slots.front().from > reservation.expected_start)
    reservation.expected_start = slots.front().from;
  reservation.surplus = SurplusAt(state, worker, reservation, now);
  return Renewal::kRenewed;
}

void DropReservations(State& state, const StepName& step) {
  std::erase_if(state.look_ahead.reservations,
                [&step](const Reservation& r) { return r.step == step; });
}

void FailReservation(State& state,
                     const StepName& step,
                     Renewal failure,
                     TimePoint now) {
  if (const auto ref = FindWaitingTask(state, step)) {
    ++state.counters.reservations_failed;
    LogDecision(state, "reservation_failed", *ref,
                failure == Renewal::kWorkerLost ? "worker_lost" : "too_late");
    // A worker that is lost says nothing against the estimates.
    if (failure == Renewal::kTooLate)
      state.look_ahead.retry_at.insert_or_assign(step,
                                                 now + kRetryAfterFailure);
    else
      state.look_ahead.retry_at.erase(step);
  }
  DropReservations(state, step);
}

}  // namespace

void ReviewReservations(State& state, TimePoint now) {
  std::erase_if(state.look_ahead.retry_at,
                [now](const auto& entry) { return entry.second <= now; });
  std::map<StepName, Renewal> failed;  // a gang needs all of its workers
  for (Reservation& reservation : state.look_ahead.reservations) {
    const Renewal renewal = Renew(state, reservation, now);
    if (renewal != Renewal::kRenewed)
      failed.emplace(reservation.step, renewal);
  }
  for (const auto& [step, failure] : failed)
    FailReservation(state, step, failure, now);
}

bool ReserveForStep(State& state, const ReadyKey& key, TimePoint now) {
  const StepSpec& spec = key.iteration->job->spec.steps[key.step];
  LookAhead& look_ahead = state.look_ahead;
  const StepName name = NameOfStep(key);
  const auto task = FindWaitingTask(state, name);
  // A best-effort task needs idle time and headroom, which ends do not tell.
  if (!task || spec.best_effort || look_ahead.retry_at.contains(name) ||
      now - TaskOf(*task).ready_here_since < kMinWait)
    return false;
  const bool has_one = std::any_of(
      look_ahead.reservations.begin(), look_ahead.reservations.end(),
      [&name](const Reservation& r) { return r.step == name; });
  const size_t count = spec.gang ? spec.count : 1;
  if (has_one || look_ahead.reservations.size() + count > kMaxReservations)
    return false;
  look_ahead.retry_at.insert_or_assign(name, now + kSearchInterval);
  std::vector<Slot> slots = FindSlots(state, *task, now);
  if (slots.size() < count || (spec.same_rack && !KeepFirstRack(slots, count)))
    return true;
  slots.resize(count);
  AddReservations(state, key, slots, now);
  ++state.counters.reservations_made;
  LogDecision(
      state, "reservation_made", *task,
      state.workers[static_cast<size_t>(slots.back().worker)].info.id.value() +
          " in_ms=" +
          std::to_string((slots.back().from - now) / milliseconds(1)));
  return true;
}

const Reservation* FindBlockingReservation(const State& state,
                                           const WorkerState& worker,
                                           const TaskRef& ref,
                                           TimePoint now) {
  for (const Reservation& reservation : state.look_ahead.reservations) {
    if (&state.workers[static_cast<size_t>(reservation.worker)] != &worker ||
        reservation.step == NameOfStep(ref))
      continue;
    const StepSpec& spec = SpecOf(ref);
    const ReadyKey key = MakeReadyKey(state, *ref.iteration, ref.step, now);
    if (std::pair(key.priority, key.rank) <
            std::pair(reservation.priority, reservation.rank) ||
        Fits(ReservedBy(spec), reservation.surplus))
      continue;
    const RunTime run_time = EstimateRunTime(
        state.look_ahead.estimates, ref.iteration->job->spec.queue, spec);
    if (spec.long_running || now + run_time.upper > reservation.expected_start)
      return &reservation;
  }
  return nullptr;
}

void UpdateReservationsForStart(State& state,
                                const TaskRef& ref,
                                int32_t worker,
                                TimePoint now) {
  const StepName step = NameOfStep(ref);
  const auto is_own = [&step](const Reservation& reservation) {
    return reservation.step == step;
  };
  if (std::erase_if(state.look_ahead.reservations, is_own) > 0) {
    ++state.counters.reservations_kept;
    LogDecision(state, "reservation_kept", ref);
  }
  for (Reservation& reservation : state.look_ahead.reservations) {
    if (reservation.worker != worker)
      continue;
    const RunTime run_time =
        EstimateRunTime(state.look_ahead.estimates,
                        ref.iteration->job->spec.queue, SpecOf(ref));
    ++state.counters.tasks_backfilled;
    if (SpecOf(ref).long_running ||
        now + run_time.upper > reservation.expected_start)
      reservation.surplus -= ReservedBy(SpecOf(ref));
  }
}

void LearnRunTime(State& state, const TaskRef& ref, TimePoint now) {
  const StepSpec& spec = SpecOf(ref);
  const Task& task = TaskOf(ref);
  // A run that continued from a checkpoint or at a lower pace tells nothing of
  // a whole one.
  if (!task.started || spec.long_running || spec.best_effort ||
      (spec.checkpointing && task.failures > 0))
    return;
  ObserveRunTime(state.look_ahead.estimates, ref.iteration->job->spec.queue,
                 spec, now - *task.started);
}

}  // namespace cowslipmast::sched
