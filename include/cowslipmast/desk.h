#ifndef COWSLIPMAST_DESK_H_
#define COWSLIPMAST_DESK_H_

#include <optional>
#include <random>
#include <set>
#include <variant>
#include <vector>

#include "cowslipmast/desk_message.h"
#include "cowslipmast/desk_state.h"
#include "cowslipmast/ids.h"
#include "cowslipmast/units.h"

namespace cowslipmast {

/** Write the request to the target once and report how that ended. The call
 * goes on after the deadline, because the request then still uses its slot. */
struct SendToTarget {
  DeskTicket ticket;
  TargetId target;
  Endpoint endpoint;
  Duration remaining{0};  // until the caller's deadline
};

/** Send the request to the peer once and report how that ended. */
struct ForwardToPeer {
  DeskTicket ticket;
  ProcessId peer;
  Duration remaining{0};
};

/** Answer the caller or the peer that sent the request; once a ticket. */
struct ReplyToCaller {
  DeskTicket ticket;
  DeskReply reply;
};

/** Close the idle connections to a target that failed. */
struct DropIdleConnections {
  Endpoint endpoint;
};

using DeskAction = std::
    variant<SendToTarget, ForwardToPeer, ReplyToCaller, DropIdleConnections>;

/** The moment and the chance that a step uses, and the actions it asks for. */
struct DeskStep {
  TimePoint now;
  std::mt19937_64& random;
  std::vector<DeskAction>& actions;
};

enum class TargetFailureKind {
  kUnreachable,     // not connected, nothing was written
  kConnectionLost,  // before the answer was complete
  kTimeout,
  kBadAnswer,
  kAnswerTooLarge,
};

struct TargetFailure {
  TargetFailureKind kind = TargetFailureKind::kUnreachable;
  bool request_sent = false;  // a byte may have been written
};

DeskState MakeDeskState(const DeskLimits& limits);

/** Takes a request. The reply may be among the actions of this step. */
DeskTicket AcceptRequest(DeskState& state,
                         DeskStep& step,
                         DeskRequest request,
                         DeskOrigin origin);

/** A call of SendToTarget ended with a complete answer. */
void TargetAnswered(DeskState& state,
                    DeskStep& step,
                    DeskTicket ticket,
                    HttpResponse response);

/** A call of SendToTarget ended without one. */
void TargetFailed(DeskState& state,
                  DeskStep& step,
                  DeskTicket ticket,
                  const TargetFailure& failure);

/** A call of ForwardToPeer ended with a reply. */
void PeerReplied(DeskState& state,
                 DeskStep& step,
                 DeskTicket ticket,
                 DeskReply reply);

/** A call of ForwardToPeer ended without one. */
void PeerFailed(DeskState& state,
                DeskStep& step,
                DeskTicket ticket,
                bool request_sent);

/** The VM list or the configuration changed. Slots in use are kept. */
void SetTargets(DeskState& state,
                DeskStep& step,
                const std::set<ServiceId>& known_services,
                const std::vector<DeskTargetInfo>& targets);

/** The targets that may get new work, until `until` at the latest. */
void SetUsableTargets(DeskState& state,
                      DeskStep& step,
                      const std::set<TargetId>& usable,
                      TimePoint until);

/** The peers that answer and do not drain. */
void SetPeers(DeskState& state,
              DeskStep& step,
              const std::vector<DeskPeerInfo>& peers);

/** From now on peers' requests are refused; callers' are still served. */
void BeginDrain(DeskState& state);

/** Closes a draining desk once nothing is in progress. A closed desk refuses
 * every request, so that what it owned may be given up. */
bool CloseIfDrained(DeskState& state);

/** Handles what is due; see NextTimer(). */
void HandleTimer(DeskState& state, DeskStep& step);

/** When HandleTimer() is to be called next, if at all. */
std::optional<TimePoint> NextTimer(const DeskState& state, TimePoint now);

/** Free slots of owned targets by service; zeros are left in. */
FreeSlots CountFreeSlots(const DeskState& state, TimePoint now);

/** True if no request is in progress on the target. */
bool IsIdle(const DeskState& state, const TargetId& target);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_DESK_H_
