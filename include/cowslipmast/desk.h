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

/** Sends the request to the target once and reports the result. The call
 * continues after the deadline, because the request still occupies its slot
 * then. */
struct SendToTarget {
  DeskTicket ticket;
  TargetId target;
  Endpoint endpoint;
  Duration remaining{0};  // until the caller's deadline
};

/** Forwards the request to the peer once and reports the result. */
struct ForwardToPeer {
  DeskTicket ticket;
  ProcessId peer;
  Duration remaining{0};
};

/** Replies to the caller or peer that sent the request; exactly once per
 * ticket. */
struct ReplyToCaller {
  DeskTicket ticket;
  DeskReply reply;
};

/** Closes the idle connections to a target that failed. */
struct DropIdleConnections {
  Endpoint endpoint;
};

using DeskAction = std::
    variant<SendToTarget, ForwardToPeer, ReplyToCaller, DropIdleConnections>;

/** Input and output of one step: the current time, the random number generator,
 * and the list to which the step adds actions. */
struct DeskStep {
  TimePoint now;
  std::mt19937_64& random;
  std::vector<DeskAction>& actions;
};

enum class TargetFailureKind {
  kUnreachable,     // no connection, so nothing was written
  kConnectionLost,  // before the response was complete
  kTimeout,
  kBadAnswer,
  kAnswerTooLarge,
};

struct TargetFailure {
  TargetFailureKind kind = TargetFailureKind::kUnreachable;
  bool request_sent = false;  // at least one byte may have been written
};

DeskState MakeDeskState(const DeskLimits& limits);

/** Accepts a request. The reply may already be among the actions of this step.
 */
DeskTicket AcceptRequest(DeskState& state,
                         DeskStep& step,
                         DeskRequest request,
                         DeskOrigin origin);

/** Call when SendToTarget ended with a complete response. */
void TargetAnswered(DeskState& state,
                    DeskStep& step,
                    DeskTicket ticket,
                    HttpResponse response);

/** Call when SendToTarget ended without a complete response. */
void TargetFailed(DeskState& state,
                  DeskStep& step,
                  DeskTicket ticket,
                  const TargetFailure& failure);

/** Call when ForwardToPeer ended with a reply. */
void PeerReplied(DeskState& state,
                 DeskStep& step,
                 DeskTicket ticket,
                 DeskReply reply);

/** Call when ForwardToPeer ended without a reply. */
void PeerFailed(DeskState& state,
                DeskStep& step,
                DeskTicket ticket,
                bool request_sent);

/** Call when the VM list or the configuration changed. Slots in use stay in
 * use. */
void SetTargets(DeskState& state,
                DeskStep& step,
                const std::set<ServiceId>& known_services,
                const std::vector<DeskTargetInfo>& targets);

/** Sets the targets that may receive new requests, until `until` at the latest.
 */
void SetUsableTargets(DeskState& state,
                      DeskStep& step,
                      const std::set<TargetId>& usable,
                      TimePoint until);

/** Sets the peers that are reachable and not draining. */
void SetPeers(DeskState& state,
              DeskStep& step,
              const std::vector<DeskPeerInfo>& peers);

/** Starts draining: requests from peers are refused, those from callers are
 * still served. */
void BeginDrain(DeskState& state);

/** Closes a draining router once no request is in progress, and returns whether
 * it is closed. A closed router refuses every request, so that its targets can
 * be released. */
bool CloseIfDrained(DeskState& state);

/** Handles expired deadlines and retries queued requests; see NextTimer(). */
void HandleTimer(DeskState& state, DeskStep& step);

/** Returns when HandleTimer() has to be called next, if at all. */
std::optional<TimePoint> NextTimer(const DeskState& state, TimePoint now);

/** Returns the free slots of owned targets by service, including services with
 * zero free slots. */
FreeSlots CountFreeSlots(const DeskState& state, TimePoint now);

/** Returns true if no request is in progress on the target. */
bool IsIdle(const DeskState& state, const TargetId& target);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_DESK_H_
