#include "src/sched/pacing.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <vector>

#include "src/sched/workers.h"

namespace cowslipmast::sched {

namespace {

constexpr uint32_t kFullPacePercent = 100;
// A pace command is sent when the pace changes by at least this much, or to 0.
constexpr uint32_t kMinPaceChangePercent = 12;
// Utilisation kept free below the latency target: a task's own utilisation may
// rise by 0.1 until the next listing.
constexpr double kUtilisationMargin = 0.06;
// Utilisation that opportunistic tasks leave free in addition: they would
// otherwise keep latency-critical tasks at their limits all the time.
constexpr double kOpportunisticMargin = 0.1;
// Pace of opportunistic tasks beside tasks that use all of the processor time.
constexpr uint32_t kMinOpportunisticPercent = 5;
// Best-effort images that add less than this to a task's utilisation are not
// slowed down.
constexpr double kMinNoticeableInterference = 0.02;
// Weight of a new reading in the moving average of a task's own utilisation,
// which changes in waves of 10 s.
constexpr double kOwnUtilisationWeight = 0.6;
// Number of successive listings with a tail latency over the target after which
// all best-effort tasks are slowed down: two if the model does not explain it,
// four if it does but its paces have not helped. Listings are 0.7 s apart, and
// a task may be over its target for 4 s.
constexpr uint32_t kListingsBeforeUnexplainedSlowdown = 2;
constexpr uint32_t kListingsBeforeExplainedSlowdown = 4;
constexpr double kSlowdownFactor = 0.4;
// Added to the pace factor by each listing within the targets.
constexpr double kSpeedupPerListing = 0.3;

bool IsLatencyCritical(const StepSpec& spec) {
  return !spec.best_effort && spec.latency_target.count() > 0;
}

// Processor shares of the best-effort images in the worker's last listing.
std::vector<BestEffortShare> UsedShares(const WorkerState& worker) {
  std::vector<BestEffortShare> shares;
  for (const TaskRef& ref : worker.tasks) {
    const Task& task = TaskOf(ref);
    if (!SpecOf(ref).best_effort || !task.load || *task.load <= 0 ||
        task.last_listing != worker.listing_count)
      continue;
    AddShare(shares, StepOf(ref).image,
             CpuShare(worker, static_cast<double>(*task.load)));
  }
  return shares;
}

double TargetMs(const StepSpec& spec) {
  return static_cast<double>(spec.latency_target.count()) / 1000.0;
}

// State of the tail latencies on a worker.
enum class TailStatus {
  kWithinTargets,
  kExplained,    // one is over its target, and the model predicts interference
  kUnexplained,  // one is over its target without predicted interference
};

// Updates the model from the tail latencies of the worker's latency-critical
// tasks.
TailStatus ObserveTails(State& state, WorkerState& worker) {
  const std::vector<BestEffortShare> shares = UsedShares(worker);
  const std::vector<BestEffortShare> changes =
      ShareChanges(worker.best_effort_shares, shares);
  TailStatus tail_status = TailStatus::kWithinTargets;
  for (const TaskRef& ref : worker.tasks) {
    const StepSpec& spec = SpecOf(ref);
    Task& task = TaskOf(ref);
    // Below 100 percent the task is still starting up.
    if (!IsLatencyCritical(spec) || !task.load || *task.load <= 0 ||
        task.progress_percent < 100 ||
        task.last_listing != worker.listing_count)
      continue;
    const ImageIndex image = StepOf(ref).image;
    LatencyCriticalModel& model =
        state.interference.latency_critical_models[image];
    const auto tail = static_cast<double>(*task.load);
    if (model.shortest_tail_ms <= 0 || tail < model.shortest_tail_ms)
      model.shortest_tail_ms = tail;
    const double used = UtilisationAt(model, tail, TargetMs(spec));
    ObserveUtilisation(state.interference, image, used, shares);
    if (task.utilisation_listing > 0 &&
        task.utilisation_listing + 1 == worker.listing_count)
      ObserveUtilisationChange(state.interference, image, task.utilisation,
                               used, changes);
    task.utilisation = used;
    task.utilisation_listing = worker.listing_count;
    const double interference =
        TotalInterference(state.interference, image, shares);
    const double own = std::clamp(used - interference, 0.0, 0.8);
    task.own_utilisation +=
        kOwnUtilisationWeight * (own - task.own_utilisation);
    // A listed tail has whole milliseconds, so an equal one may be over.
    if (tail < TargetMs(spec) || shares.empty())
      continue;
    if (interference < kUtilisationMargin)
      tail_status = TailStatus::kUnexplained;
    else if (tail_status == TailStatus::kWithinTargets)
      tail_status = TailStatus::kExplained;
  }
  worker.best_effort_shares = shares;
  return tail_status;
}

// Fraction of full pace at which the best-effort tasks keep a latency-critical
// task within `limit`; `interference` is what they add to it at full pace.
double PaceFractionFor(double own_utilisation,
                       double limit,
                       double interference) {
  if (interference <= kMinNoticeableInterference)
    return 1.0;
  return std::clamp((limit - own_utilisation) / interference, 0.0, 1.0);
}

// Utilisation up to which a latency-critical task stays within its target, less
// a margin.
double UtilisationLimit(const State& state, const TaskRef& ref) {
  const double target = TargetMs(SpecOf(ref));
  return UtilisationAt(
             state.interference.latency_critical_models[StepOf(ref).image],
             target, target) -
         kUtilisationMargin;
}

// Millicores that a best-effort task would use at full pace.
double CpuAtFullPace(const TaskRef& ref) {
  const Task& task = TaskOf(ref);
  const auto declared = static_cast<double>(SpecOf(ref).need.cpu.count());
  if (!task.load || *task.load <= 0 || task.pace_percent < 20 ||
      task.pace_percent > kFullPacePercent)
    return declared;
  return std::min(declared * 1.5, static_cast<double>(*task.load) * 100.0 /
                                      static_cast<double>(task.pace_percent));
}

// Utilisation that a best-effort task at full pace adds to tasks of a
// latency-critical image.
double InterferenceAtFullPace(const State& state,
                              const WorkerState& worker,
                              ImageIndex latency_critical,
                              const TaskRef& best_effort) {
  return EstimateInterference(state.interference, latency_critical,
                              StepOf(best_effort).image) *
         CpuShare(worker, CpuAtFullPace(best_effort));
}

// Best-effort tasks of a worker that slow down tasks of a latency-critical
// image, and what they add to their utilisation at full pace.
struct InterferingTasks {
  std::vector<Task*> tasks;
  double interference = 0;
};

InterferingTasks FindInterferingTasks(const State& state,
                                      const WorkerState& worker,
                                      ImageIndex latency_critical,
                                      bool opportunistic) {
  InterferingTasks found;
  for (const TaskRef& ref : worker.tasks) {
    if (!SpecOf(ref).best_effort ||
        TaskOf(ref).is_opportunistic != opportunistic)
      continue;
    const double interference =
        InterferenceAtFullPace(state, worker, latency_critical, ref);
    if (interference < kMinNoticeableInterference / 2)
      continue;
    found.interference += interference;
    found.tasks.push_back(&TaskOf(ref));
  }
  return found;
}

void LimitPaces(const InterferingTasks& interfering, double pace) {
  for (Task* task : interfering.tasks) {
    task->target_pace_percent =
        std::min(task->target_pace_percent,
                 static_cast<uint32_t>(std::lround(pace * 100)));
  }
}

// Sets target paces that the model predicts to keep all tail latencies within
// their targets. Opportunistic tasks get what the others leave.
void SetPacesByModel(State& state, WorkerState& worker) {
  for (const TaskRef& ref : worker.tasks) {
    if (SpecOf(ref).best_effort)
      TaskOf(ref).target_pace_percent = kFullPacePercent;
  }
  for (const TaskRef& latency_critical : worker.tasks) {
    if (!IsLatencyCritical(SpecOf(latency_critical)))
      continue;
    const ImageIndex image = StepOf(latency_critical).image;
    const double own = TaskOf(latency_critical).own_utilisation;
    const double limit = UtilisationLimit(state, latency_critical);
    const InterferingTasks normal =
        FindInterferingTasks(state, worker, image, false);
    LimitPaces(normal, PaceFractionFor(own, limit, normal.interference));
    const InterferingTasks opportunistic =
        FindInterferingTasks(state, worker, image, true);
    LimitPaces(opportunistic, PaceFractionFor(own + normal.interference,
                                              limit - kOpportunisticMargin,
                                              opportunistic.interference));
  }
}

// Opportunistic tasks share the processor time that all others leave, and make
// some progress without any.
void LimitOpportunisticPaces(WorkerState& worker) {
  const double need = OpportunisticNeed(worker);
  if (need <= 0)
    return;
  const auto percent = static_cast<uint32_t>(
      std::clamp(MillicoresForOpportunistic(worker) / need * 100,
                 static_cast<double>(kMinOpportunisticPercent),
                 static_cast<double>(kFullPacePercent)));
  for (const TaskRef& ref : worker.tasks) {
    Task& task = TaskOf(ref);
    if (task.is_opportunistic)
      task.target_pace_percent = std::min(task.target_pace_percent, percent);
  }
}

void ApplyPaceFactor(WorkerState& worker) {
  for (const TaskRef& ref : worker.tasks) {
    Task& task = TaskOf(ref);
    if (SpecOf(ref).best_effort)
      task.target_pace_percent =
          static_cast<uint32_t>(static_cast<double>(task.target_pace_percent) *
                                worker.best_effort_pace_factor);
  }
}

// The priority of a restored run is not stored. A run at less than half of its
// pace was most likely an opportunistic one; otherwise it is promoted soon.
void AdoptSlowedRuns(WorkerState& worker) {
  for (const TaskRef& ref : worker.tasks) {
    Task& task = TaskOf(ref);
    if (SpecOf(ref).best_effort && !task.started &&
        task.pace_percent == kUnknownPacePercent && task.load &&
        *task.load < SpecOf(ref).need.cpu.count() / 2)
      task.is_opportunistic = true;
  }
}

// Makes the target pace the commanded one.
void SetPace(Task& task, TimePoint now) {
  const bool was_paused = task.pace_percent < kMinPaceOfProgress ||
                          task.pace_percent == kUnknownPacePercent;
  task.pace_percent = task.target_pace_percent;
  if (was_paused) {
    task.last_progress = now;
    task.slowest_pace_percent = task.pace_percent;
  }
  task.slowest_pace_percent =
      std::min(task.slowest_pace_percent, task.pace_percent);
}

}  // namespace

bool NeedsPaceCommand(const Task& task) {
  if (task.pace_percent == kUnknownPacePercent)
    return true;
  if (task.pace_percent == task.target_pace_percent)
    return false;
  const uint32_t change = task.pace_percent > task.target_pace_percent
                              ? task.pace_percent - task.target_pace_percent
                              : task.target_pace_percent - task.pace_percent;
  const bool ends_pause = task.pace_percent == 0 &&
                          task.target_pace_percent >= kMinOpportunisticPercent;
  return change >= kMinPaceChangePercent || task.target_pace_percent == 0 ||
         ends_pause;
}

bool RunsBothTaskClasses(const WorkerState& worker) {
  bool has_latency_critical = false;
  bool has_best_effort = false;
  for (const TaskRef& ref : worker.tasks) {
    const StepSpec& spec = SpecOf(ref);
    has_best_effort = has_best_effort || spec.best_effort;
    has_latency_critical = has_latency_critical || IsLatencyCritical(spec);
  }
  return has_latency_critical && has_best_effort;
}

void PromoteOpportunisticTasks(State& state, int32_t index) {
  WorkerState& worker = state.workers[static_cast<size_t>(index)];
  for (const TaskRef& ref : worker.tasks) {
    Task& task = TaskOf(ref);
    if (task.is_opportunistic && HasIdleTimeFor(worker, SpecOf(ref)) &&
        HeadroomBeside(state, worker, StepOf(ref).image, SpecOf(ref).need.cpu,
                       PacePriority::kNormal) >= 0)
      task.is_opportunistic = false;
  }
}

void SetTargetPaces(State& state, int32_t index) {
  WorkerState& worker = state.workers[static_cast<size_t>(index)];
  SetPacesByModel(state, worker);
  LimitOpportunisticPaces(worker);
  ApplyPaceFactor(worker);
}

void PaceBestEffortTasks(State& state, int32_t index) {
  WorkerState& worker = state.workers[static_cast<size_t>(index)];
  const TailStatus tail_status = ObserveTails(state, worker);
  if (!RunsBothTaskClasses(worker)) {
    worker.best_effort_pace_factor = 1.0;
    worker.listings_over_target = 0;
  } else if (tail_status == TailStatus::kWithinTargets) {
    worker.listings_over_target = 0;
    worker.best_effort_pace_factor =
        std::min(1.0, worker.best_effort_pace_factor + kSpeedupPerListing);
  } else {
    const uint32_t listings_before_slowdown =
        tail_status == TailStatus::kUnexplained
            ? kListingsBeforeUnexplainedSlowdown
            : kListingsBeforeExplainedSlowdown;
    if (++worker.listings_over_target >= listings_before_slowdown)
      worker.best_effort_pace_factor *= kSlowdownFactor;
  }
  AdoptSlowedRuns(worker);
  SetTargetPaces(state, index);
  for (const TaskRef& ref : worker.tasks) {
    if (SpecOf(ref).best_effort && NeedsPaceCommand(TaskOf(ref)))
      state.needs_plan = true;
  }
}

double HeadroomBeside(const State& state,
                      const WorkerState& worker,
                      ImageIndex best_effort,
                      MilliCores cpu,
                      PacePriority priority) {
  double least_headroom = kAmpleHeadroom;
  for (const TaskRef& latency_critical : worker.tasks) {
    if (!IsLatencyCritical(SpecOf(latency_critical)))
      continue;
    const ImageIndex image = StepOf(latency_critical).image;
    const double added =
        EstimateInterference(state.interference, image, best_effort) *
        CpuShare(worker, static_cast<double>(cpu.count()));
    if (added < kMinNoticeableInterference / 2)
      continue;
    double interference = added;
    for (const TaskRef& ref : worker.tasks) {
      if (SpecOf(ref).best_effort &&
          (priority == PacePriority::kOpportunistic ||
           !TaskOf(ref).is_opportunistic))
        interference += InterferenceAtFullPace(state, worker, image, ref);
    }
    least_headroom =
        std::min(least_headroom, UtilisationLimit(state, latency_critical) -
                                     TaskOf(latency_critical).own_utilisation -
                                     interference);
  }
  return least_headroom;
}

void PlanPaces(State& state, TimePoint now, Plan& plan) {
  for (WorkerState& worker : state.workers) {
    if (worker.reachability != Reachability::kReachable)
      continue;
    for (const TaskRef& ref : worker.tasks) {
      Task& task = TaskOf(ref);
      // The pace of a restored run follows from its first listing.
      const bool awaits_listing = !task.started && task.last_listing == 0;
      if (!SpecOf(ref).best_effort || task.phase != SchedulingPhase::kRunning ||
          awaits_listing || !NeedsPaceCommand(task))
        continue;
      SetPace(task, now);
      ++state.counters.paces;
      LogDecision(state, "run_paced", ref,
                  "percent=" + std::to_string(task.pace_percent));
      plan.paces.push_back(PaceCommand{CurrentInstance(worker), NameOf(ref),
                                       task.run, task.pace_percent});
    }
  }
}

}  // namespace cowslipmast::sched
