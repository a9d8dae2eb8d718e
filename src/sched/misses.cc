#include "src/sched/misses.h"

#include <algorithm>

#include "src/sched/jobs.h"
#include "src/sched/order.h"

namespace cowslipmast::sched {

Misses::Kind Misses::KindOf(const State& state,
                            const ReadyKey& key,
                            TimePoint now) {
  const Step& step = key.owner->steps[key.step];
  const StepSpec& spec = key.owner->job->spec.steps[key.step];
  return Kind{
      .service = PolicyOf(state, *key.owner->job).service,
      .need = spec.need,
      .image = spec.fills ? step.image : 0,
      .fills = spec.fills,
      .bound = spec.gang || spec.max_per_worker != 0 || !spec.label.empty(),
      .overdue = !step.ready.empty() &&
                 IsOverdue(spec, step.tasks[step.ready.back()], now)};
}

void Misses::Add(const State& state, const ReadyKey& key, TimePoint now) {
  m_kinds.push_back(KindOf(state, key, now));
}

bool Misses::Cover(const State& state,
                   const ReadyKey& key,
                   TimePoint now) const {
  const Kind kind = KindOf(state, key, now);
  return std::any_of(
      m_kinds.begin(), m_kinds.end(), [&kind](const Kind& missed) {
        return !missed.bound && (missed.overdue || !kind.overdue) &&
               missed.service == kind.service && missed.fills == kind.fills &&
               missed.image == kind.image && Fits(missed.need, kind.need);
      });
}

}  // namespace cowslipmast::sched
