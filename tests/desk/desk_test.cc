#include <catch2/catch.hpp>

#include <algorithm>
#include <string>

#include "tests/desk/world.h"

namespace cowslipmast {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

HttpResponse Done() {
  return {.status = 200, .headers = {}, .body = "done"};
}

HttpResponse Leaving() {
  return {.status = 503, .headers = {}, .body = "bye", .closes = true};
}

// Adds retries to the budget by requests that are refused.
void EarnRetries(World& world, int retries) {
  DeskRequest request = MakeRequest("refused", false);
  request.remaining = Duration(0);
  for (int i = 0; i < retries * 10 + 1; ++i)
    world.Accept(request);
}

TEST_CASE("a region whose data centre is out", "[desk]") {
  World world;
  world.AddTarget(1, 8);
  world.targets[0].data_centre_out = true;
  world.SetAll();
  SECTION("sends requests to another region at once") {
    world.ReportPeer(1, false, 1);
    const DeskTicket ticket = world.Accept(MakeRequest("a", false));
    CHECK(world.at_peer.count(ticket) == 1);
  }
  SECTION("refuses them if no other region serves") {
    const DeskTicket ticket = world.Accept(MakeRequest("a", false));
    REQUIRE(world.ReplyTo(ticket));
    CHECK(world.ReplyTo(ticket)->refusal == DeskRefusal::kDataCentreOut);
  }
}

TEST_CASE("a request and the slots of the region", "[desk]") {
  World world;
  world.AddTarget(1, 1);
  const DeskTicket first = world.Accept(MakeRequest("a", false));
  REQUIRE(world.at_target.count(first) == 1);

  SECTION("a second one waits, and gets the slot when it is free") {
    const DeskTicket second = world.Accept(MakeRequest("b", false));
    CHECK(world.at_target.count(second) == 0);
    SECTION("though one with an earlier deadline goes first") {
      DeskRequest urgent = MakeRequest("c", false);
      urgent.remaining = milliseconds(100);
      const DeskTicket third = world.Accept(urgent);
      world.Answer(first, Done());
      CHECK(world.at_target.count(third) == 1);
      CHECK(world.at_target.count(second) == 0);
    }
    SECTION("and is not run if its deadline passes in the queue") {
      world.Pass(seconds(1));
      CHECK(world.ReplyTo(second)->outcome == DeskOutcome::kNotRun);
      CHECK(world.ReplyTo(second)->refusal == DeskRefusal::kDeadlinePassed);
    }
    SECTION("or a peer of the region takes it, once it has a slot") {
      world.ReportPeer(1, true, 1);
      CHECK(world.at_peer.count(second) == 1);
    }
    SECTION("or another region, but only after 50 ms") {
      world.ReportPeer(1, false, 1);
      world.Pass(milliseconds(49));
      CHECK(world.at_peer.empty());
      world.Pass(milliseconds(1));
      CHECK(world.at_peer.count(second) == 1);
    }
  }

  SECTION("its slot is in use after the deadline, as long as it runs") {
    // Guards against a target that gets more than it can take, because the
    // callers of its requests went away.
    world.Pass(milliseconds(600));
    CHECK(world.ReplyTo(first)->outcome == DeskOutcome::kUnknown);
    CHECK(world.ReplyTo(first)->refusal == DeskRefusal::kTargetTimeout);
    const DeskTicket second = world.Accept(MakeRequest("b", false));
    CHECK(world.at_target.count(second) == 0);
    SECTION("and a late answer is given to a resend") {
      world.Answer(first, Done());
      CHECK(world.at_target.count(second) == 1);
      DeskRequest again = MakeRequest("a", false);
      again.resend = true;
      CHECK(world.ReplyTo(world.Accept(again))->response.body == "done");
    }
  }

  SECTION("a slot of another region counts as free again when it answered") {
    // Guards against refusals between two heartbeats of the other region, which
    // come every 2 s: the demo refused 313 of 6,000 requests that way.
    world.ReportPeer(1, false, 1);
    const DeskTicket second = world.Accept(MakeRequest("b", false));
    const DeskTicket third = world.Accept(MakeRequest("c", false));
    world.Pass(milliseconds(50));
    REQUIRE(world.at_peer.count(second) == 1);
    CHECK(world.at_peer.count(third) == 0);
    DeskReply answered;
    answered.outcome = DeskOutcome::kAnswered;
    world.ReplyAsPeer(second, answered);
    CHECK(world.at_peer.count(third) == 1);
  }

  SECTION("its slot is in use while the target is owned by others") {
    world.usable.clear();
    world.SetAll();
    CHECK_FALSE(IsIdle(world.state, TargetNumber(1)));
    world.usable.insert(TargetNumber(1));
    world.SetAll();
    const DeskTicket second = world.Accept(MakeRequest("b", false));
    CHECK(world.at_target.count(second) == 0);
    world.Answer(first, Done());
    CHECK(world.at_target.count(second) == 1);
  }

  SECTION("a peer's request is neither queued nor sent on") {
    world.ReportPeer(1, true, 5);
    const DeskTicket second =
        world.Accept(MakeRequest("b", false), DeskOrigin::kPeer);
    REQUIRE(world.ReplyTo(second));
    CHECK(world.ReplyTo(second)->refusal == DeskRefusal::kNoFreeSlot);
    CHECK(world.ReplyTo(second)->free_slots.at(kService) == Slots(0));
  }

  SECTION("the queue is bounded, and refuses early") {
    for (int i = 0; i < 16; ++i)
      world.Accept(MakeRequest("q" + std::to_string(i), false));
    const DeskTicket last = world.Accept(MakeRequest("last", false));
    REQUIRE(world.ReplyTo(last));
    CHECK(world.ReplyTo(last)->refusal == DeskRefusal::kQueueFull);
  }

  SECTION("a drained desk refuses, so that its targets may be released") {
    // Guards against a request that starts while the release is written.
    BeginDrain(world.state);
    CHECK_FALSE(CloseIfDrained(world.state));
    world.Answer(first, Done());
    CHECK(CloseIfDrained(world.state));
    const DeskTicket late = world.Accept(MakeRequest("b", false));
    CHECK(world.ReplyTo(late)->refusal == DeskRefusal::kDraining);
  }
  CHECK(world.faults.empty());
}

TEST_CASE("a request whose target fails", "[desk]") {
  World world;
  world.AddTarget(1, 1);
  const TargetFailure lost{TargetFailureKind::kConnectionLost, true};

  SECTION("is unknown if it may not be run again") {
    const DeskTicket ticket = world.Accept(MakeRequest("a", false));
    world.AddTarget(2, 1);
    world.Fail(ticket, lost);
    CHECK(world.ReplyTo(ticket)->outcome == DeskOutcome::kUnknown);
  }
  SECTION("goes to another target if nothing was written") {
    const DeskTicket ticket = world.Accept(MakeRequest("a", false));
    world.AddTarget(2, 1);
    world.Fail(ticket, {TargetFailureKind::kUnreachable, false});
    CHECK(world.at_target.at(ticket) == TargetNumber(2));
  }
  SECTION("is tried again if it is idempotent and within the budget") {
    EarnRetries(world, 1);
    const DeskTicket ticket = world.Accept(MakeRequest("a", true));
    world.AddTarget(2, 1);
    world.Fail(ticket, lost);
    CHECK(world.at_target.at(ticket) == TargetNumber(2));
    SECTION("and stays unknown when the deadline finds it in the queue") {
      EarnRetries(world, 1);
      world.Fail(ticket, lost);
      world.Pass(milliseconds(600));
      CHECK(world.ReplyTo(ticket)->outcome == DeskOutcome::kUnknown);
    }
  }
  SECTION("finds the target again after 1 s, then 2 s, up to 30 s") {
    int wait_s = 1;
    for (int failure = 0; failure < 7; ++failure) {
      const std::string id = std::to_string(failure);
      const DeskTicket ticket = world.Accept(MakeRequest(id, false));
      REQUIRE(world.at_target.count(ticket) == 1);
      world.Fail(ticket, lost);
      world.Pass(seconds(wait_s) - milliseconds(1));
      CHECK(CountFreeSlots(world.state, world.now).at(kService) == Slots(0));
      world.Pass(milliseconds(1));
      wait_s = std::min(wait_s * 2, 30);
    }
    const DeskTicket probe = world.Accept(MakeRequest("probe", false));
    world.Answer(probe, Done());
    CHECK(world.state.targets.at(TargetNumber(1)).back_off == Duration(0));
  }
  SECTION("passes on the answer of a target that is leaving") {
    const DeskTicket ticket = world.Accept(MakeRequest("a", false));
    world.Answer(ticket, Leaving());
    CHECK(world.ReplyTo(ticket)->outcome == DeskOutcome::kAnswered);
    CHECK(CountFreeSlots(world.state, world.now).at(kService) == Slots(0));
  }
  SECTION("is tried elsewhere when the target is leaving and it may be") {
    EarnRetries(world, 1);
    const DeskTicket ticket = world.Accept(MakeRequest("a", true));
    world.AddTarget(2, 1);
    world.Answer(ticket, Leaving());
    CHECK(world.at_target.at(ticket) == TargetNumber(2));
  }
  CHECK(world.faults.empty());
}

TEST_CASE("a request id that was used before", "[desk]") {
  World world;
  world.AddTarget(1, 2);
  const DeskTicket first = world.Accept(MakeRequest("a", false));

  SECTION("is not run again while it runs") {
    const DeskTicket second = world.Accept(MakeRequest("a", false));
    CHECK(world.ReplyTo(second)->refusal == DeskRefusal::kDuplicateId);
    CHECK(world.ReplyTo(second)->outcome == DeskOutcome::kUnknown);
  }
  SECTION("repeats the answer only to the same request") {
    // Guards against a caller that gets the answer to another's request.
    world.Answer(first, Done());
    CHECK(world.ReplyTo(world.Accept(MakeRequest("a", false)))->outcome ==
          DeskOutcome::kAnswered);
    DeskRequest other = MakeRequest("a", false);
    other.body = "other";
    CHECK(world.ReplyTo(world.Accept(other))->refusal ==
          DeskRefusal::kDuplicateId);
  }
  SECTION("may run again after it was not run, or after 10 minutes") {
    world.Fail(first, {TargetFailureKind::kUnreachable, false});
    world.Pass(milliseconds(600));
    CHECK(world.ReplyTo(first)->outcome == DeskOutcome::kNotRun);
    world.Pass(seconds(1));
    const DeskTicket second = world.Accept(MakeRequest("a", false));
    REQUIRE(world.at_target.count(second) == 1);
    world.Answer(second, Done());
    world.Pass(std::chrono::minutes(10));
    CHECK_FALSE(world.ReplyTo(world.Accept(MakeRequest("a", false))));
  }
  SECTION("is unknown if a resend names one that never was here") {
    DeskRequest resend = MakeRequest("b", false);
    resend.resend = true;
    CHECK(world.ReplyTo(world.Accept(resend))->refusal ==
          DeskRefusal::kResendNotKnown);
  }
  CHECK(world.faults.empty());
}

}  // namespace
}  // namespace cowslipmast
