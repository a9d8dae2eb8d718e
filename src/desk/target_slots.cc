#include "src/desk/target_slots.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace cowslipmast {

namespace {

bool AcceptsRequests(const DeskState& state,
                     const DeskTarget& target,
                     TimePoint now) {
  return target.listed && target.usable && now < state.usable_until &&
         !target.info.leaving && !target.info.data_centre_out &&
         now >= target.leaving_until && now >= target.retry_at;
}

void StartBackOff(const DeskState& state,
                  TimePoint now,
                  DeskTarget& target,
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

Slots FreeSlotsOf(const DeskState& state,
                  const DeskTarget& target,
                  TimePoint now) {
  if (!AcceptsRequests(state, target, now))
    return Slots(0);
  const Slots free = std::max(Slots(0), target.info.slots - target.in_flight);
  if (target.back_off == Duration(0))
    return free;
  return now < target.probe_until ? Slots(0) : std::min(free, Slots(1));
}

Slots OwnedSlots(const DeskState& state, const DeskService& service) {
  Slots sum;
  for (const TargetId& id : service.targets) {
    const DeskTarget& target = state.targets.at(id);
    if (target.listed && target.usable)
      sum += target.info.slots;
  }
  return sum;
}

std::optional<TargetId> PickTarget(const DeskState& state,
                                   DeskStep& step,
                                   const DeskService& service) {
  std::vector<const DeskTarget*> free;
  for (const TargetId& id : service.targets) {
    const DeskTarget& target = state.targets.at(id);
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

void TakeSlot(DeskState& state, DeskStep& step, DeskCall& call, TargetId id) {
  DeskTarget& target = state.targets.at(id);
  if (target.in_flight == Slots(0) ||
      target.unanswered_since <= std::max(target.answered_at, target.failed_at))
    target.unanswered_since = step.now;
  target.in_flight += Slots(1);
  call.probe = target.back_off != Duration(0);
  if (call.probe)
    target.probe_until = step.now + state.limits.unresponsive_timeout;
  call.place = DeskPlace::kTarget;
  call.target = std::move(id);
  call.sent_at = step.now;
}

void ReturnSlot(DeskState& state, const DeskCall& call) {
  const auto found = state.targets.find(call.target);
  DeskTarget& target = found->second;
  target.in_flight -= Slots(1);
  if (call.probe)
    target.probe_until = TimePoint();
  if (!target.listed && target.in_flight == Slots(0))
    state.targets.erase(found);
}

void NoteAnswer(DeskState& state, TimePoint now, const DeskCall& call) {
  DeskTarget& target = state.targets.at(call.target);
  target.answered_at = now;
  target.back_off = Duration(0);
  target.retry_at = TimePoint();
}

void NoteFailure(DeskState& state, DeskStep& step, const DeskCall& call) {
  ++state.counters.target_failures;
  DeskTarget& target = state.targets.at(call.target);
  step.actions.emplace_back(DropIdleConnections{target.info.endpoint});
  StartBackOff(state, step.now, target, call.sent_at);
}

void NoteMissedDeadline(DeskState& state,
                        DeskStep& step,
                        const DeskCall& call) {
  ++state.counters.missed_deadlines;
  DeskTarget& target = state.targets.at(call.target);
  // Existing connections may be dead while new ones would work.
  step.actions.emplace_back(DropIdleConnections{target.info.endpoint});
  const bool unresponsive =
      target.answered_at < target.unanswered_since &&
      step.now - target.unanswered_since >= state.limits.unresponsive_timeout;
  if (unresponsive)
    StartBackOff(state, step.now, target, call.sent_at);
}

void NoteLeaving(DeskState& state, TimePoint now, const DeskCall& call) {
  ++state.counters.leaving_answers;
  state.targets.at(call.target).leaving_until =
      now + state.limits.leaving_answer_duration;
}

}  // namespace cowslipmast
