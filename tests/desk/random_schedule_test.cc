#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include <iterator>
#include <string>
#include <vector>

#include "tests/desk/world.h"

namespace cowslipmast {
namespace {

using std::chrono::milliseconds;

// Draws numbers from bytes that RapidCheck made, so that it can shrink them.
struct Dice {
  const std::vector<uint8_t>& bytes;
  size_t next = 0;

  bool Empty() const { return next >= bytes.size(); }
  int Below(int bound) {
    return Empty() ? 0 : static_cast<int>(bytes[next++]) % bound;
  }
};

HttpResponse MakeAnswer(Dice& dice) {
  HttpResponse response{.status = 200, .headers = {}, .body = "done"};
  if (dice.Below(4) == 0) {
    response.status = 503;
    response.closes = dice.Below(2) == 0;
  }
  return response;
}

template <typename Map>
auto Pick(const Map& map, Dice& dice) {
  return std::next(map.begin(), dice.Below(static_cast<int>(map.size())))
      ->first;
}

void Accept(World& world, Dice& dice) {
  const int id = dice.Below(200);
  DeskRequest request =
      MakeRequest("r" + std::to_string(id), dice.Below(2) == 0);
  request.remaining = milliseconds(1 + dice.Below(250) * 10);
  request.resend = dice.Below(10) == 0;
  const bool from_peer = dice.Below(4) == 0;
  world.Accept(request, from_peer ? DeskOrigin::kPeer : DeskOrigin::kCaller);
}

void EndTargetCall(World& world, Dice& dice) {
  if (world.at_target.empty())
    return;
  const DeskTicket ticket = Pick(world.at_target, dice);
  constexpr TargetFailureKind k_kinds[] = {
      TargetFailureKind::kUnreachable, TargetFailureKind::kConnectionLost,
      TargetFailureKind::kTimeout, TargetFailureKind::kBadAnswer,
      TargetFailureKind::kAnswerTooLarge};
  const int kind = dice.Below(10);
  if (kind < 5)
    world.Fail(ticket, {k_kinds[kind], kind > 0});
  else
    world.Answer(ticket, MakeAnswer(dice));
}

void EndPeerCall(World& world, Dice& dice) {
  if (world.at_peer.empty())
    return;
  const DeskTicket ticket = Pick(world.at_peer, dice);
  const int kind = dice.Below(6);
  if (kind < 2) {
    world.FailPeer(ticket, kind == 0);
    return;
  }
  DeskReply reply;
  reply.outcome = kind == 2   ? DeskOutcome::kNotRun
                  : kind == 3 ? DeskOutcome::kUnknown
                              : DeskOutcome::kAnswered;
  reply.refusal = kind == 3 ? DeskRefusal::kTargetTimeout : DeskRefusal::kNone;
  reply.free_slots = {{kService, Slots(dice.Below(3))}};
  world.ReplyAsPeer(ticket, reply);
}

void ChangeTargets(World& world, Dice& dice) {
  const int number = dice.Below(4);
  const TargetId id = TargetNumber(number);
  std::erase_if(world.targets, [&](const auto& info) { return info.id == id; });
  const int change = dice.Below(6);
  if (change > 0) {
    world.targets.push_back({.id = id,
                             .service = kService,
                             .slots = Slots(1 + dice.Below(3)),
                             .endpoint = {"10.0.0.1", 80},
                             .leaving = change == 1,
                             .data_centre_out = change == 2});
  }
  world.SetAll();
}

void ChangeOwnership(World& world, Dice& dice) {
  const TargetId id = TargetNumber(dice.Below(4));
  if (world.usable.erase(id) == 0)
    world.usable.insert(id);
  world.SetAll();
}

void Step(World& world, Dice& dice) {
  switch (dice.Below(13)) {
    case 0:
    case 1:
    case 2:
    case 3:
      return Accept(world, dice);
    case 4:
    case 5:
    case 6:
      return EndTargetCall(world, dice);
    case 7:
      return EndPeerCall(world, dice);
    case 8:
      return ChangeTargets(world, dice);
    case 9:
      return ChangeOwnership(world, dice);
    case 10: {
      const int peer = dice.Below(3);
      return world.ReportPeer(peer, peer < 2, dice.Below(4));
    }
    default:
      return world.Pass(milliseconds(dice.Below(40) * dice.Below(40)));
  }
}

// Ends all that is in progress and lets all deadlines pass.
void Finish(World& world, Dice& dice) {
  world.Pass(std::chrono::seconds(3));
  while (!world.at_target.empty() || !world.at_peer.empty()) {
    if (!world.at_target.empty())
      world.Answer(world.at_target.begin()->first, MakeAnswer(dice));
    if (!world.at_peer.empty())
      world.FailPeer(world.at_peer.begin()->first, true);
    world.Pass(std::chrono::seconds(3));
  }
}

void CheckNothingLeft(World& world) {
  for (const auto& [ticket, request] : world.seen)
    world.Expect(request.replies.size() == 1, "a request gets one reply");
  world.Expect(world.state.calls.empty(), "no call is left");
  world.Expect(world.state.deadlines.empty(), "no deadline is left");
  for (const auto& [id, service] : world.state.services)
    world.Expect(service.queue.empty(), "no queue entry is left");
  for (const auto& [id, target] : world.state.targets)
    world.Expect(target.in_flight == Slots(0), "no slot is left in use");
  // Guards against memory that grows with the number of requests.
  world.Pass(world.state.limits.id_memory);
  world.state.known_services.clear();
  world.Accept(MakeRequest("last", false));
  world.Expect(world.state.ids.entries.empty(), "no id is left");
  world.Expect(world.state.ids.answer_bytes == 0, "no answer is left");
}

TEST_CASE("routing keeps its promises on random schedules", "[desk]") {
  // Guards against slots given out twice, replies lost or doubled, `not-run`
  // after a write, second writes and leaks, whatever the order of events is.
  CHECK(rc::check("answers, failures, ownership, peers and time", [] {
    const auto bytes = *rc::gen::resize(
        4000, rc::gen::container<std::vector<uint8_t>>(
                  rc::gen::resize(100, rc::gen::arbitrary<uint8_t>())));
    Dice dice{bytes};
    DeskLimits limits;
    limits.min_queue = 4;
    limits.id_entries = 40;
    limits.id_answer_bytes = 60;
    World world(limits);
    for (int number = 0; number < 3; ++number)
      world.AddTarget(number, 2);
    while (!dice.Empty())
      Step(world, dice);
    Finish(world, dice);
    CheckNothingLeft(world);
    const DeskCounters& counters = world.state.counters;
    world.Expect(world.retries * 10 <= counters.requests,
                 "retries stay within a tenth of the requests");
    RC_TAG(counters.retries > 0, counters.forwards_to_other_regions > 0,
           counters.duplicate_ids > 0);
    if (!world.faults.empty())
      RC_FAIL(world.faults.front());
  }));
}

}  // namespace
}  // namespace cowslipmast
