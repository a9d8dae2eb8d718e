#include "src/sched/placing.h"

#include <algorithm>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "src/sched/health.h"
#include "src/sched/jobs.h"
#include "src/sched/misses.h"
#include "src/sched/order.h"
#include "src/sched/pacing.h"
#include "src/sched/residence.h"
#include "src/sched/workers.h"

namespace cowslipmast::sched {

namespace {

// Part of a service's processors that lasting tasks may reserve; short urgent
// work needs about 5% of the capacity of the first deployments, in large
// pieces.
constexpr double kLastingShare = 0.92;
// A task that fills starts where this share of its need is left over.
constexpr double kFillShare = 0.6;
// Utilisation that a filling task must leave to the serving tasks beside it;
// below zero it would start only to be slowed down.
constexpr double kLeastRoom = 0.0;
// Steps of one priority and rank that do not fit before the rest of these is
// left for the next plan; bounds the time of a plan while much waits. Steps
// that need no less than one that did not fit are passed over without a look
// and do not count.
constexpr size_t kMaxMisses = 24;

double Millicores(MilliCores cpu) {
  return static_cast<double>(cpu.count());
}

// Processor time that neither reserved nor filling tasks are expected to use.
// Lasting tasks use a part of what they reserve, by their load of the moment.
double LeftOver(const Worker& worker) {
  double lasting = 0;
  for (const TaskRef& ref : worker.tasks) {
    if (SpecOf(ref).lasting && !SpecOf(ref).fills)
      lasting += Millicores(SpecOf(ref).need.cpu) * TaskOf(ref).own_load;
  }
  const double short_work =
      Millicores(worker.reserved.cpu) - Millicores(worker.lasting);
  return Millicores(worker.info.capacity.cpu) - short_work - lasting -
         Millicores(worker.filling);
}

bool HasLabel(const Worker& worker, const std::string& label) {
  return label.empty() ||
         std::find(worker.info.labels.begin(), worker.info.labels.end(),
                   label) != worker.info.labels.end();
}

bool HasRoom(const Worker& worker, const StepSpec& spec) {
  return Fits(ReservedBy(spec), worker.info.capacity - worker.reserved);
}

// True if lasting tasks stay within their part of the service with this one.
bool StaysWithinLastingShare(const State& state,
                             const ServiceId& service,
                             const StepSpec& spec) {
  double capacity = 0;
  double lasting = Millicores(spec.need.cpu);
  for (const Worker& worker : state.workers) {
    if (worker.info.service != service || !worker.listed)
      continue;
    capacity += Millicores(worker.info.capacity.cpu);
    lasting += Millicores(worker.lasting);
  }
  return lasting <= capacity * kLastingShare;
}

uint32_t CountOfStep(const Worker& worker, const TaskRef& ref) {
  return static_cast<uint32_t>(std::count_if(
      worker.tasks.begin(), worker.tasks.end(), [&ref](const TaskRef& other) {
        return other.iteration == ref.iteration && other.step == ref.step;
      }));
}

// How well a filling task fits beside what runs on the worker; nothing if it
// should rather wait. Room for the serving tasks counts most.
std::optional<double> FillScore(const State& state,
                                const Worker& worker,
                                const TaskRef& ref) {
  const StepSpec& spec = SpecOf(ref);
  const double left = LeftOver(worker);
  if (left < Millicores(spec.need.cpu) * kFillShare)
    return std::nullopt;
  const double room =
      RoomBeside(state, worker, StepOf(ref).image, spec.need.cpu);
  if (room < kLeastRoom)
    return std::nullopt;
  return room + 0.5 * ShareOf(worker, left);
}

// Serving tasks of one image are gathered, and packed on few workers: a filling
// image then finds workers where it presses on nothing, as it presses on some
// serving images only and on no worker without serving tasks.
double GatheringScore(const Worker& worker, const TaskRef& ref) {
  double same = 0;
  double other = 0;
  for (const TaskRef& beside : worker.tasks) {
    const StepSpec& spec = SpecOf(beside);
    if (!spec.lasting || spec.fills)
      continue;
    if (StepOf(beside).image == StepOf(ref).image)
      same += 1;
    else
      other += 1;
  }
  const double gathered =
      same + other > 0 ? (same - other) / (same + other) : 0.0;
  return gathered + ShareOf(worker, Millicores(worker.lasting));
}

// Larger is better; nothing if the task should not go there now.
std::optional<double> ScoreOf(const State& state,
                              const Worker& worker,
                              const TaskRef& ref) {
  const StepSpec& spec = SpecOf(ref);
  // Away from its data a task takes twice as long; any free worker near it
  // is better than the best one elsewhere.
  const bool far =
      !spec.data_rack.empty() && worker.info.rack != spec.data_rack;
  const double penalty = far ? -1000.0 : 0.0;
  if (spec.fills) {
    const auto score = FillScore(state, worker, ref);
    return score ? std::optional(penalty + *score) : std::nullopt;
  }
  if (spec.lasting && spec.latency_target.count() > 0)
    return penalty + GatheringScore(worker, ref);
  // The fullest worker that has room: what is left of the others stays in
  // pieces that are large enough for lasting tasks.
  return penalty + ShareOf(worker, Millicores(worker.reserved.cpu));
}

bool IsLastAttempt(const QueuePolicy& policy,
                   const StepSpec& spec,
                   const Task& task) {
  return !spec.lasting && task.failures > 0 &&
         task.failures + 1 >= policy.attempts;
}

struct PlaceQuery {
  const StepSpec& spec;
  const QueuePolicy& policy;
  const TaskRef& ref;
  bool last_attempt = false;
  bool is_overdue = false;       // lasting, and goes to doubtful workers too
  bool waits = false;            // leaves the remaining room to short work
  const RackId* rack = nullptr;  // only this rack, if set
};

bool IsSuitable(const State& state,
                const Worker& worker,
                const PlaceQuery& query,
                TimePoint now) {
  return worker.info.service == query.policy.service &&
         HasRoom(worker, query.spec) &&
         BarOf(state, worker, now) == WorkerBar::kNone &&
         (query.is_overdue || IsTrusted(worker, query.last_attempt, now)) &&
         (query.rack == nullptr || worker.info.rack == *query.rack) &&
         HasLabel(worker, query.spec.label) &&
         (query.spec.max_per_worker == 0 ||
          CountOfStep(worker, query.ref) < query.spec.max_per_worker);
}

int32_t BestWorker(const State& state, const PlaceQuery& query, TimePoint now) {
  if (query.waits)
    return kNowhere;
  int32_t best = kNowhere;
  double best_score = 0;
  for (size_t i = 0; i < state.workers.size(); ++i) {
    const Worker& worker = state.workers[i];
    if (!IsSuitable(state, worker, query, now))
      continue;
    const auto score = ScoreOf(state, worker, query.ref);
    if (score && (best == kNowhere || *score > best_score)) {
      best = static_cast<int32_t>(i);
      best_score = *score;
    }
  }
  return best;
}

// True if the service has room for two such tasks, on one worker or on two.
bool HasRoomTwice(const State& state,
                  const ServiceId& service,
                  const StepSpec& spec,
                  TimePoint now) {
  int64_t places = 0;
  for (const Worker& worker : state.workers) {
    if (worker.info.service != service || !HasRoom(worker, spec) ||
        BarOf(state, worker, now) != WorkerBar::kNone)
      continue;
    const Resources free = worker.info.capacity - worker.reserved;
    places += Fits(spec.need + spec.need, free) ? 2 : 1;
    if (places >= 2)
      return true;
  }
  return false;
}

PlaceQuery QueryOf(const State& state, const TaskRef& ref, TimePoint now) {
  const QueuePolicy& policy = PolicyOf(state, *ref.iteration->job);
  const StepSpec& spec = SpecOf(ref);
  const Task& task = TaskOf(ref);
  // An overdue task may take the part that is kept for short work, too, if
  // there is room for two of it.
  const bool is_overdue = IsOverdue(spec, task, now);
  return PlaceQuery{
      .spec = spec,
      .policy = policy,
      .ref = ref,
      .last_attempt = IsLastAttempt(policy, spec, task),
      .is_overdue = is_overdue,
      .waits =
          spec.lasting && !spec.fills &&
          !StaysWithinLastingShare(state, policy.service, spec) &&
          (!is_overdue || !HasRoomTwice(state, policy.service, spec, now))};
}

void StartTask(State& state, const TaskRef& ref, int32_t worker, Plan& plan) {
  Task& task = TaskOf(ref);
  Job& job = *ref.iteration->job;
  task.phase = TaskPhase::kPlanned;
  task.run = task.run.Next();
  job.has_started = true;
  if (job.state == JobState::kQueued)
    job.state = JobState::kActive;
  OccupyWorker(state, ref, worker);
  Worker& host = state.workers[static_cast<size_t>(worker)];
  // A lasting task does not end, and would keep others off for ever.
  if (host.health.avoid_until && !SpecOf(ref).lasting)
    host.health.probing = true;
  MarkDirty(state, *ref.iteration);
  plan.starts.push_back(StartCommand{.worker = host.info.id,
                                     .task = NameOf(ref),
                                     .run = task.run,
                                     .payload = job.spec.payload,
                                     .checkpoint = task.checkpoint});
  Note(state, "run_planned", ref);
}

// Places the step's waiting tasks one by one. False if one found no place.
bool PlaceTasks(State& state, const ReadyKey& key, TimePoint now, Plan& plan) {
  Step& step = key.owner->steps[key.step];
  while (!step.ready.empty()) {
    const TaskRef ref{key.owner, key.step, step.ready.back()};
    if (TaskOf(ref).phase != TaskPhase::kReady) {
      step.ready.pop_back();
      continue;
    }
    const int32_t worker = BestWorker(state, QueryOf(state, ref, now), now);
    if (worker == kNowhere)
      return false;
    step.ready.pop_back();
    StartTask(state, ref, worker, plan);
  }
  return true;
}

// Places all members on one rack, or on any if `rack` is not set; none if not
// all of them fit.
bool TryPlaceGang(State& state,
                  const ReadyKey& key,
                  const RackId* rack,
                  TimePoint now,
                  std::vector<int32_t>& places) {
  Step& step = key.owner->steps[key.step];
  places.clear();
  bool complete = true;
  for (uint32_t index = 0; index < step.tasks.size() && complete; ++index) {
    const TaskRef ref{key.owner, key.step, index};
    PlaceQuery query = QueryOf(state, ref, now);
    query.rack = rack;
    const int32_t worker = BestWorker(state, query, now);
    complete = worker != kNowhere;
    if (complete) {
      places.push_back(worker);
      OccupyWorker(state, ref, worker);
    }
  }
  for (uint32_t index = 0; index < places.size(); ++index)
    VacateWorker(state, TaskRef{key.owner, key.step, index});
  return complete;
}

std::vector<RackId> RacksOf(const State& state, const RackId& first) {
  std::vector<RackId> racks;
  for (const Worker& worker : state.workers) {
    if (std::find(racks.begin(), racks.end(), worker.info.rack) == racks.end())
      racks.push_back(worker.info.rack);
  }
  std::stable_partition(racks.begin(), racks.end(),
                        [&first](const RackId& rack) { return rack == first; });
  return racks;
}

bool FindGangPlaces(State& state,
                    const ReadyKey& key,
                    TimePoint now,
                    std::vector<int32_t>& places) {
  const StepSpec& spec = key.owner->job->spec.steps[key.step];
  if (spec.same_rack) {
    for (const RackId& rack : RacksOf(state, spec.data_rack)) {
      if (TryPlaceGang(state, key, &rack, now, places))
        return true;
    }
  }
  return TryPlaceGang(state, key, nullptr, now, places);
}

bool PlaceGang(State& state, const ReadyKey& key, TimePoint now, Plan& plan) {
  Step& step = key.owner->steps[key.step];
  const bool all_wait = std::all_of(
      step.tasks.begin(), step.tasks.end(),
      [](const Task& task) { return task.phase == TaskPhase::kReady; });
  std::vector<int32_t> places;
  if (!all_wait || !FindGangPlaces(state, key, now, places))
    return false;
  step.ready.clear();
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
    StartTask(state, TaskRef{key.owner, key.step, index}, places[index], plan);
  }
  return true;
}

bool PlaceStep(State& state, const ReadyKey& key, TimePoint now, Plan& plan) {
  if (key.owner->job->ended_at)
    return true;
  if (key.owner->job->spec.steps[key.step].gang)
    return PlaceGang(state, key, now, plan);
  return PlaceTasks(state, key, now, plan);
}

}  // namespace

int32_t FindPlace(const State& state, const TaskRef& ref, TimePoint now) {
  return BestWorker(state, QueryOf(state, ref, now), now);
}

void PlaceReadyTasks(State& state, TimePoint now, Plan& plan) {
  Misses misses;
  std::map<std::pair<uint32_t, uint32_t>, size_t> missed;
  std::vector<ReadyKey> moved;
  for (auto next = state.ready.begin(); next != state.ready.end();) {
    const ReadyKey key = *next;
    size_t& count = missed[{key.priority, key.rank}];
    if (count >= kMaxMisses) {
      // On to the next priority or rank.
      next = state.ready.lower_bound(
          ReadyKey{.priority = key.priority, .rank = key.rank + 1});
      continue;
    }
    const ReadyKey current = MakeReadyKey(state, *key.owner, key.step, now);
    if (key < current || current < key) {
      moved.push_back(current);
      next = state.ready.erase(next);
      continue;
    }
    if (misses.Cover(state, key, now)) {
      ++next;
      continue;
    }
    if (PlaceStep(state, key, now, plan)) {
      next = state.ready.erase(next);
      continue;
    }
    misses.Add(state, key, now);
    ++count;
    ++next;
  }
  state.ready.insert(moved.begin(), moved.end());
  if (!moved.empty())
    state.changed = true;
}

}  // namespace cowslipmast::sched
