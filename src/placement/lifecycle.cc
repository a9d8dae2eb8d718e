#include "src/placement/lifecycle.h"

namespace cowslipmast {

namespace {

template <typename Phase, typename Event>
struct Transition {
  Phase from;
  Event event;
  Phase to;
};

using TaskTransition = Transition<TaskPhase, TaskEvent>;
using LeaseTransition = Transition<LeasePhase, LeaseEvent>;

constexpr TaskTransition kTaskTransitions[] = {
    {TaskPhase::kWaiting, TaskEvent::kStart, TaskPhase::kStarting},
    {TaskPhase::kWaiting, TaskEvent::kStarted, TaskPhase::kRunning},
    {TaskPhase::kWaiting, TaskEvent::kEnded, TaskPhase::kEnding},
    {TaskPhase::kStarting, TaskEvent::kStarted, TaskPhase::kRunning},
    {TaskPhase::kStarting, TaskEvent::kNotStarted, TaskPhase::kWaiting},
    {TaskPhase::kStarting, TaskEvent::kEnded, TaskPhase::kEnding},
    {TaskPhase::kRunning, TaskEvent::kEvict, TaskPhase::kEvicting},
    {TaskPhase::kRunning, TaskEvent::kEnded, TaskPhase::kEnding},
    {TaskPhase::kEvicting, TaskEvent::kEvict, TaskPhase::kEvicting},
    {TaskPhase::kEvicting, TaskEvent::kEnded, TaskPhase::kEnding},
    {TaskPhase::kEnding, TaskEvent::kRecordedDone, TaskPhase::kDone},
    {TaskPhase::kEnding, TaskEvent::kRecordedFailed, TaskPhase::kFailed},
    {TaskPhase::kEnding, TaskEvent::kRecordedAgain, TaskPhase::kWaiting},
};

constexpr LeaseTransition kLeaseTransitions[] = {
    {LeasePhase::kRequested, LeaseEvent::kGranted, LeasePhase::kHeld},
    {LeasePhase::kRequested, LeaseEvent::kListed, LeasePhase::kHeld},
    {LeasePhase::kRequested, LeaseEvent::kRefused, LeasePhase::kEnded},
    {LeasePhase::kRequested, LeaseEvent::kReplyLost, LeasePhase::kUncertain},
    {LeasePhase::kRequested, LeaseEvent::kEnded, LeasePhase::kEnded},
    {LeasePhase::kUncertain, LeaseEvent::kListed, LeasePhase::kHeld},
    {LeasePhase::kUncertain, LeaseEvent::kRefused, LeasePhase::kEnded},
    {LeasePhase::kUncertain, LeaseEvent::kEnded, LeasePhase::kEnded},
    {LeasePhase::kHeld, LeaseEvent::kListed, LeasePhase::kHeld},
    {LeasePhase::kHeld, LeaseEvent::kWorkerSilent, LeasePhase::kSilent},
    {LeasePhase::kHeld, LeaseEvent::kEnded, LeasePhase::kEnded},
    {LeasePhase::kSilent, LeaseEvent::kListed, LeasePhase::kHeld},
    {LeasePhase::kSilent, LeaseEvent::kEnded, LeasePhase::kEnded},
};

template <typename Table, typename Phase, typename Event>
bool Step(const Table& table, Event event, Phase& phase) {
  for (const auto& transition : table) {
    if (transition.from == phase && transition.event == event) {
      phase = transition.to;
      return true;
    }
  }
  return false;
}

}  // namespace

bool StepTask(TaskEvent event, TaskPhase& phase) {
  return Step(kTaskTransitions, event, phase);
}

bool StepLease(LeaseEvent event, LeasePhase& phase) {
  return Step(kLeaseTransitions, event, phase);
}

}  // namespace cowslipmast
