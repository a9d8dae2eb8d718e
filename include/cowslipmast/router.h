#ifndef COWSLIPMAST_ROUTER_H_
#define COWSLIPMAST_ROUTER_H_

#include <optional>
#include <random>
#include <set>
#include <variant>
#include <vector>

#include "cowslipmast/ids.h"
#include "cowslipmast/router_message.h"
#include "cowslipmast/router_state.h"
#include "cowslipmast/units.h"

namespace cowslipmast {

/** Sends the request to the target once and reports the result. The call
 * continues after the deadline, because the request still occupies its slot
 * then. */
struct SendToTarget {
  RequestTicket ticket;
  TargetId target;
  Endpoint endpoint;
  Duration remaining{0};  // until the caller's deadline
};

/** Forwards the request to the peer once and reports the result. */
struct ForwardToPeer {
  RequestTicket ticket;
  ProcessId peer;
  Duration remaining{0};
};

/** Replies to the caller or peer that sent the request; exactly once per
 * ticket. */
struct ReplyToCaller {
  RequestTicket ticket;
  RouterReply reply;
};

/** Closes the idle connections to a target that failed. */
struct DropIdleConnections {
  Endpoint endpoint;
};

using RouterAction = std::
    variant<SendToTarget, ForwardToPeer, ReplyToCaller, DropIdleConnections>;

/** Input and output of one step: the current time, the random number generator,
 * and the list to which the step adds actions. */
struct RouterStep {
  TimePoint now;
  std::mt19937_64& random;
  std::vector<RouterAction>& actions;
};

enum class TargetFailureKind {
  kUnreachable,     // no connection, so nothing was written
  kConnectionLost,  // before the response was complete
  kTimeout,
  kBadResponse,
  kResponseTooLarge,
};

struct TargetFailure {
  TargetFailureKind kind = TargetFailureKind::kUnreachable;
  bool request_sent = false;  // at least one byte may have been written
};

RouterState MakeRouterState(const RouterLimits& limits);

/** Accepts a request. The reply may already be among the actions of this step.
 */
RequestTicket AcceptRequest(RouterState& state,
                            RouterStep& step,
                            RouterRequest request,
                            RequestOrigin origin);

/** Call when SendToTarget ended with a complete response. */
void TargetAnswered(RouterState& state,
                    RouterStep& step,
                    RequestTicket ticket,
                    HttpResponse response);

/** Call when SendToTarget ended without a complete response. */
void TargetFailed(RouterState& state,
                  RouterStep& step,
                  RequestTicket ticket,
                  const TargetFailure& failure);

/** Call when ForwardToPeer ended with a reply. */
void PeerReplied(RouterState& state,
                 RouterStep& step,
                 RequestTicket ticket,
                 RouterReply reply);

/** Call when ForwardToPeer ended without a reply. */
void PeerFailed(RouterState& state,
                RouterStep& step,
                RequestTicket ticket,
                bool request_sent);

/** Call when the VM list or the configuration changed. Slots in use stay in
 * use. */
void SetTargets(RouterState& state,
                RouterStep& step,
                const std::set<ServiceId>& known_services,
                const std::vector<RouterTargetInfo>& targets);

/** Sets the targets that may receive new requests, until `until` at the latest.
 */
void SetUsableTargets(RouterState& state,
                      RouterStep& step,
                      const std::set<TargetId>& usable,
                      TimePoint until);

/** Sets the peers that are reachable and not draining. */
void SetPeers(RouterState& state,
              RouterStep& step,
              const std::vector<RouterPeerInfo>& peers);

/** Starts draining: requests from peers are refused, those from callers are
 * still served. */
void BeginDrain(RouterState& state);

/** Closes a draining router once no request is in progress, and returns whether
 * it is closed. A closed router refuses every request, so that its targets can
 * be released. */
bool CloseIfDrained(RouterState& state);

/** Handles expired deadlines and retries queued requests; see NextTimer(). */
void HandleTimer(RouterState& state, RouterStep& step);

/** Returns when HandleTimer() has to be called next, if at all. */
std::optional<TimePoint> NextTimer(const RouterState& state, TimePoint now);

/** Returns the free slots of owned targets by service, including services with
 * zero free slots. */
FreeSlots CountFreeSlots(const RouterState& state, TimePoint now);

/** Returns true if no request is in progress on the target. */
bool IsIdle(const RouterState& state, const TargetId& target);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_ROUTER_H_
