#ifndef COWSLIPMAST_TESTS_ROUTER_ROUTER_SIMULATION_H_
#define COWSLIPMAST_TESTS_ROUTER_ROUTER_SIMULATION_H_

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cowslipmast/router.h"

namespace cowslipmast {

inline const ServiceId kService("refill-desk");

inline TargetId TargetNumber(int number) {
  return TargetId("t" + std::to_string(number));
}

inline ProcessId PeerNumber(int number) {
  return ProcessId("p" + std::to_string(number));
}

inline RouterRequest MakeRequest(const std::string& id, bool idempotent) {
  RouterRequest request;
  request.id = RequestId(id);
  request.service = kService;
  request.idempotent = idempotent;
  request.remaining = std::chrono::milliseconds(500);
  request.path = "/refill-desk/" + id;
  return request;
}

/** What the simulation has observed of a request. */
struct ObservedRequest {
  bool idempotent = false;
  int sends = 0;         // sends to targets and peers
  int may_have_run = 0;  // sends after which the request may have run
  bool in_progress = false;
  bool retry_is_next = false;
  std::vector<RouterReply> replies;
};

/** A router in virtual time; the test acts as its targets and peers. Each
 * violated rule is added to `violations`. */
struct RouterSimulation {
  RouterState state;
  TimePoint now{std::chrono::seconds(1000)};
  std::mt19937_64 random{20261204};
  std::vector<RouterTargetInfo> targets;
  std::set<TargetId> usable;
  std::vector<RouterPeerInfo> peers;
  std::map<RequestTicket, ObservedRequest> observed;
  std::map<RequestTicket, TargetId> at_target;
  std::map<RequestTicket, ProcessId> at_peer;
  uint64_t retries = 0;
  std::map<ProcessId, int> unused_slots;  // free slots reported, minus forwards
  std::map<RequestTicket, TimePoint> forwarded_at;
  std::vector<std::string> violations;

  explicit RouterSimulation(const RouterLimits& limits = {})
      : state(MakeRouterState(limits)) {}

  void AddTarget(int number, int slots) {
    targets.push_back({.id = TargetNumber(number),
                       .service = kService,
                       .slots = Slots(slots),
                       .endpoint = {"10.0.0.1", 80}});
    usable.insert(TargetNumber(number));
    SetAll();
  }

  void SetAll() {
    RunStep([&](RouterStep& step) {
      SetTargets(state, step, {kService}, targets);
      SetUsableTargets(state, step, usable, TimePoint::max());
    });
  }

  void ReportPeer(int number, bool own_region, int free) {
    std::erase_if(peers, [&](const RouterPeerInfo& peer) {
      return peer.process == PeerNumber(number);
    });
    peers.push_back({.process = PeerNumber(number),
                     .own_region = own_region,
                     .free_slots = {{kService, Slots(free)}},
                     .reported_at = now += Duration(1)});
    unused_slots[PeerNumber(number)] = free;
    RunStep([&](RouterStep& step) { SetPeers(state, step, peers); });
  }

  RequestTicket Accept(const RouterRequest& request,
                       RequestOrigin origin = RequestOrigin::kCaller) {
    const RequestTicket ticket = state.last_ticket.Next();
    observed[ticket].idempotent = request.idempotent;
    RunStep(
        [&](RouterStep& step) { AcceptRequest(state, step, request, origin); });
    return ticket;
  }

  void Answer(RequestTicket ticket, HttpResponse response) {
    at_target.erase(ticket);
    End(ticket, true);
    RunStep([&](RouterStep& step) {
      TargetAnswered(state, step, ticket, std::move(response));
    });
  }

  void Fail(RequestTicket ticket, const TargetFailure& failure) {
    at_target.erase(ticket);
    End(ticket, failure.request_sent);
    RunStep(
        [&](RouterStep& step) { TargetFailed(state, step, ticket, failure); });
  }

  void ReplyAsPeer(RequestTicket ticket, const RouterReply& reply) {
    at_peer.erase(ticket);
    const ProcessId peer = state.calls.at(ticket).peer;
    const RouterPeerInfo& info = state.peers.at(peer).info;
    if (reply.free_slots.count(kService) > 0 && info.own_region)
      unused_slots[peer] =
          static_cast<int>(reply.free_slots.at(kService).count());
    // A slot of another region is free again once a request forwarded after its
    // report has ended there. Replies of another region report no free slots.
    const bool returned = reply.outcome != RequestOutcome::kNotRun &&
                          forwarded_at.at(ticket) >= info.reported_at;
    if (!info.own_region && returned)
      ++unused_slots[peer];
    End(ticket, reply.outcome != RequestOutcome::kNotRun);
    RunStep([&](RouterStep& step) { PeerReplied(state, step, ticket, reply); });
  }

  void FailPeer(RequestTicket ticket, bool request_sent) {
    at_peer.erase(ticket);
    End(ticket, request_sent);
    RunStep([&](RouterStep& step) {
      PeerFailed(state, step, ticket, request_sent);
    });
  }

  /** Advances time and fires the timers that the router requested. */
  void Pass(Duration duration) {
    const TimePoint end = now + duration;
    while (const auto next = NextTimer(state, now)) {
      if (*next > end)
        break;
      now = std::max(now, *next);
      RunStep([&](RouterStep& step) { HandleTimer(state, step); });
    }
    now = end;
  }

  const RouterReply* ReplyTo(RequestTicket ticket) {
    const auto& replies = observed[ticket].replies;
    return replies.empty() ? nullptr : &replies.front();
  }

  int CountAt(const TargetId& target) const {
    int count = 0;
    for (const auto& [ticket, id] : at_target)
      count += id == target ? 1 : 0;
    return count;
  }

  void Expect(bool holds, const char* rule) {
    if (!holds)
      violations.emplace_back(rule);
  }

 private:
  template <typename Decide>
  void RunStep(const Decide& decide) {
    std::vector<RouterAction> actions;
    RouterStep step{now, random, actions};
    decide(step);
    for (const RouterAction& action : actions)
      std::visit([this](const auto& each) { this->Take(each); }, action);
  }

  void End(RequestTicket ticket, bool may_have_run) {
    observed[ticket].in_progress = false;
    observed[ticket].may_have_run += may_have_run ? 1 : 0;
    observed[ticket].retry_is_next = may_have_run;
  }

  void NoteSend(RequestTicket ticket) {
    ObservedRequest& request = observed[ticket];
    Expect(!request.in_progress, "a request has one call at a time");
    Expect(request.idempotent || request.may_have_run == 0,
           "a non-idempotent request is written once");
    Expect(request.replies.empty(), "nothing is sent after the reply");
    retries += request.retry_is_next ? 1 : 0;
    request.in_progress = true;
    ++request.sends;
  }

  void Take(const SendToTarget& action) {
    NoteSend(action.ticket);
    at_target[action.ticket] = action.target;
    for (const RouterTargetInfo& info : targets) {
      if (info.id != action.target)
        continue;
      Expect(CountAt(info.id) <= info.slots.count(), "slots are not exceeded");
      Expect(!info.leaving, "leaving targets get nothing new");
      Expect(!info.data_centre_out, "data centres out of service get nothing");
      Expect(usable.count(info.id) > 0, "only owned targets are used");
      return;
    }
    Expect(false, "only listed targets are used");
  }

  // Returns whether waiting for a slot of this region makes sense.
  bool RegionHasTargetInService() const {
    for (const RouterTargetInfo& target : targets) {
      if (!target.data_centre_out)
        return true;
    }
    for (const RouterPeerInfo& peer : peers) {
      if (peer.own_region && peer.free_slots.count(kService) > 0)
        return true;
    }
    return false;
  }

  void Take(const ForwardToPeer& action) {
    NoteSend(action.ticket);
    at_peer[action.ticket] = action.peer;
    forwarded_at[action.ticket] = now;
    const RouterCall& call = state.calls.at(action.ticket);
    Expect(call.origin == RequestOrigin::kCaller,
           "a forwarded request is not forwarded again");
    const RouterPeer& peer = state.peers.at(action.peer);
    Expect(--unused_slots[action.peer] >= 0,
           "peers get no more than their free slots");
    if (peer.info.own_region)
      return;
    Expect(!RegionHasTargetInService() ||
               now - call.arrived_at >= state.limits.remote_forward_delay,
           "another region is not used before the delay");
    Expect(CountFreeSlots(state, now)[kService] == Slots(0),
           "another region is not used while a slot is free here");
  }

  void Take(const ReplyToCaller& action) {
    ObservedRequest& request = observed[action.ticket];
    request.replies.push_back(action.reply);
    Expect(request.replies.size() == 1, "a request gets one reply");
    const bool not_run = action.reply.outcome == RequestOutcome::kNotRun;
    Expect(!not_run || (request.may_have_run == 0 && !request.in_progress),
           "not-run means that nothing was written");
  }

  void Take(const DropIdleConnections&) {}
};

}  // namespace cowslipmast

#endif  // COWSLIPMAST_TESTS_ROUTER_ROUTER_SIMULATION_H_
