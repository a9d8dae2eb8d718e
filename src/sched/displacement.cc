#include "src/sched/displacement.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <tuple>
#include <utility>

#include "src/sched/assignment.h"
#include "src/sched/expected_ends.h"
#include "src/sched/jobs.h"
#include "src/sched/step_name.h"
#include "src/sched/workers.h"

namespace cowslipmast::sched {

namespace {

// About as long as a run takes to stop.
constexpr Duration kSoon = std::chrono::milliseconds(500);

struct Candidate {
  TaskRef task;
  uint32_t priority = 0;
  Duration elapsed{0};
  Resources need;
};

bool EndsSoon(const State& state, const TaskRef& ref, TimePoint now) {
  const auto end = ExpectedEnd(state, ref, now);
  return end && *end <= now + kSoon;
}

// True if the task frees some of what is missing.
bool Helps(const Resources& freed,
           const Resources& need,
           const Resources& free) {
  return (need.cpu > free.cpu && freed.cpu.count() > 0) ||
         (need.memory > free.memory && freed.memory.count() > 0) ||
         (need.accelerators > free.accelerators &&
          freed.accelerators.count() > 0);
}

std::vector<Candidate> FindCandidates(const State& state,
                                      const WorkerState& worker,
                                      TimePoint now) {
  std::vector<Candidate> candidates;
  for (const TaskRef& ref : worker.tasks) {
    const Task& task = ReadTask(ref);
    if (!IsDisplaceable(ref) || EndsSoon(state, ref, now))
      continue;
    candidates.push_back(
        {.task = ref,
         .priority = PolicyOf(state, *ref.iteration->job).priority,
         .elapsed = task.started ? now - *task.started : Duration(0),
         .need = ReservedBy(SpecOf(ref))});
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& a, const Candidate& b) {
              return std::tie(b.priority, a.elapsed) <
                     std::tie(a.priority, b.elapsed);
            });
  return candidates;
}

// Takes back those without which it is enough, the costliest first.
void DropNeedless(std::vector<Candidate>& chosen,
                  const Resources& need,
                  Resources free) {
  for (size_t i = chosen.size(); i-- > 0;) {
    if (!Fits(need, free - chosen[i].need))
      continue;
    free -= chosen[i].need;
    chosen.erase(chosen.begin() + static_cast<std::ptrdiff_t>(i));
  }
}

double LostBy(const Candidate& candidate) {
  return static_cast<double>(candidate.need.cpu.count()) / 1000 *
         static_cast<double>(candidate.elapsed / std::chrono::milliseconds(1));
}

}  // namespace

std::optional<Displacement> FindDisplacement(const State& state,
                                             const WorkerState& worker,
                                             const TaskRef& beneficiary,
                                             const Resources& freed,
                                             TimePoint now) {
  const Resources& need = SpecOf(beneficiary).need;
  const uint32_t priority =
      PolicyOf(state, *beneficiary.iteration->job).priority;
  Resources free = FreeCapacity(worker) - worker.held + freed;
  for (const TaskRef& ref : worker.tasks) {
    if (EndsSoon(state, ref, now))
      free += ReservedBy(SpecOf(ref));
  }
  std::vector<Candidate> chosen;
  if (!Fits(need, free)) {
    for (const Candidate& candidate : FindCandidates(state, worker, now)) {
      if (candidate.priority < priority || !Helps(candidate.need, need, free))
        continue;
      free += candidate.need;
      chosen.push_back(candidate);
      if (Fits(need, free))
        break;
    }
  }
  if (!Fits(need, free))
    return std::nullopt;
  DropNeedless(chosen, need, free);
  Displacement displacement;
  for (const Candidate& candidate : chosen) {
    displacement.tasks.push_back(candidate.task);
    displacement.lost += LostBy(candidate);
  }
  return displacement;
}

void Displace(State& state,
              const Displacement& displacement,
              const TaskRef& beneficiary) {
  for (const TaskRef& ref : displacement.tasks) {
    ++state.counters.displaced_tasks;
    LogDecision(state, "run_displaced", ref,
                "by=" + ToString(NameOfStep(beneficiary)));
    state.workers[static_cast<size_t>(ReadTask(ref).worker)].displaceable -=
        ReservedBy(SpecOf(ref));
    TaskOf(ref).was_displaced = true;
    StopTask(state, ref);
  }
}

}  // namespace cowslipmast::sched
