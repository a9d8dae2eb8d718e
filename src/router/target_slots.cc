#include "src/router/target_slots.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace cowslipmast {

namespace {

bool AcceptsRequests(const RouterState& state,
                     const RouterTarget& target,
                     TimePoint now) {
  return target.listed && target.usable && now < state.usable_until &&
         !target.info.leaving && !target.info.data_centre_out &&
         now >= target.leaving_until && now >= target.retry_at;
}

void StartBackOff(const RouterState& state,
                  TimePoint now,
                  RouterTarget& target,
                  TimePoint sent_at) {
  // Requests that were in progress at the same time fail together and count as
  // one failure.
  if (target.back_off != Duration(0) && sent_at <= target.failed_at)
    return;
  target.back_off =
      target.back_off == Duration(0)
          ? state.limits.initial_back_off
          : std::min(target.back_off * 2, state.limits.max_back_off);
  target.failed_at = now;
  target.retry_at = now + target.back_off;
}

}  // namespace

Slots FreeSlotsOf(const RouterState& state,
                  const RouterTarget& target,
                  TimePoint now) {
  if (!AcceptsRequests(state, target, now))
    return Slots(0);
  const Slots free = std::max(Slots(0), target.info.slots - target.in_flight);
  if (target.back_off == Duration(0))
    return free;
  return now < target.probe_until ? Slots(0) : std::min(free, Slots(1));
}

Slots OwnedSlots(const RouterState& state, const RouterService& service) {
  Slots sum;
  for (const TargetId& id : service.targets) {
    const RouterTarget& target = state.targets.at(id);
    if (target.listed && target.usable)
      sum += target.info.slots;
  }
  return sum;
}

std::optional<TargetId> PickTarget(const RouterState& state,
                                   RouterStep& step,
                                   const RouterService& service) {
  std::vector<const RouterTarget*> free;
  for (const TargetId& id : service.targets) {
    const RouterTarget& target = state.targets.at(id);
    if (FreeSlotsOf(state, target, step.now) > Slots(0))
      free.push_back(&target);
  }
  if (free.empty())
    return std::nullopt;
  if (free.size() == 1)
    return free.front()->info.id;
  std::uniform_int_distribution<size_t> any(0, free.size() - 1);
  std::uniform_int_distribution<size_t> any_other(0, free.size() - 2);
  const size_t first = any(step.random);
  size_t second = any_other(step.random);
  if (second >= first)
    ++second;
  const bool take_first = free[first]->in_flight <= free[second]->in_flight;
  return free[take_first ? first : second]->info.id;
}

void TakeSlot(RouterState& state,
              RouterStep& step,
              RouterCall& call,
              TargetId id) {
  RouterTarget& target = state.targets.at(id);
  if (target.in_flight == Slots(0) ||
      target.unanswered_since <= std::max(target.answered_at, target.failed_at))
    target.unanswered_since = step.now;
  target.in_flight += Slots(1);
  call.probe = target.back_off != Duration(0);
  if (call.probe)
    target.probe_until = step.now + state.limits.unresponsive_timeout;
  call.location = RequestLocation::kTarget;
  call.target = std::move(id);
  call.sent_at = step.now;
}

void ReturnSlot(RouterState& state, const RouterCall& call) {
  const auto found = state.targets.find(call.target);
  RouterTarget& target = found->second;
  target.in_flight -= Slots(1);
  if (call.probe)
    target.probe_until = TimePoint();
  if (!target.listed && target.in_flight == Slots(0))
    state.targets.erase(found);
}

void NoteAnswer(RouterState& state, TimePoint now, const RouterCall& call) {
  RouterTarget& target = state.targets.at(call.target);
  target.answered_at = now;
  target.back_off = Duration(0);
  target.retry_at = TimePoint();
}

void NoteFailure(RouterState& state, RouterStep& step, const RouterCall& call) {
  ++state.counters.target_failures;
  RouterTarget& target = state.targets.at(call.target);
  step.actions.emplace_back(DropIdleConnections{target.info.endpoint});
  StartBackOff(state, step.now, target, call.sent_at);
}

void NoteMissedDeadline(RouterState& state,
                        RouterStep& step,
                        const RouterCall& call) {
  ++state.counters.missed_deadlines;
  RouterTarget& target = state.targets.at(call.target);
  // Existing connections may be dead while new ones would work.
  step.actions.emplace_back(DropIdleConnections{target.info.endpoint});
  const bool unresponsive =
      target.answered_at < target.unanswered_since &&
      step.now - target.unanswered_since >= state.limits.unresponsive_timeout;
  if (unresponsive)
    StartBackOff(state, step.now, target, call.sent_at);
}

void NoteLeaving(RouterState& state, TimePoint now, const RouterCall& call) {
  ++state.counters.leaving_answers;
  state.targets.at(call.target).leaving_until =
      now + state.limits.leaving_answer_duration;
}

}  // namespace cowslipmast
