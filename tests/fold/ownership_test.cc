#include "cowslipmast/ownership.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <variant>
#include <vector>

#include "tests/fold/fake_stream.h"

namespace cowslipmast {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ProcessId kA = MakeProcess("a");
const ProcessId kB = MakeProcess("b");
const ProcessId kC = MakeProcess("c");

// Process `a` in a region of three members, with a clock that the test
// advances.
struct OwnershipScenario {
  FakeStream stream;
  std::unique_ptr<ControlFold> fold = ControlFold::Make();
  OwnershipView view;
  OwnershipMemory memory;
  OwnershipDecision decision;
  bool reads_log = true;
  std::set<ProcessId> silent;

  OwnershipScenario() {
    view.self = kA;
    view.region = kLuzon;
    view.now = TimePoint(seconds(100));
    view.listed_vms = {VmId("a"), VmId("b"), VmId("c")};
    view.resources = {kTarget};
    uint64_t version = 0;
    for (const std::string vm : {"a", "b", "c"}) {
      Add(Join{MakeMember(vm), MembershipVersion(version++)});
      Add(MembersSettled{kLuzon, Role::kEntry, MembershipVersion(version)});
      view.peers.push_back({MakeProcess(vm), LogOffset(), view.now, false});
    }
  }
  void Add(Record record) {
    stream.Add({std::move(record)});
    stream.FoldInto(*fold);
  }
  PeerReport& Peer(const ProcessId& process) {
    return *std::find_if(
        view.peers.begin(), view.peers.end(),
        [&](const PeerReport& p) { return p.process == process; });
  }
  // Decides every 100 ms; peers that are not silent have folded everything
  // unless `peers_fold` is false.
  void Run(Duration duration, bool peers_fold = true) {
    for (Duration t{0}; t < duration; t += milliseconds(100)) {
      view.now += milliseconds(100);
      if (reads_log)
        view.proof = view.now;
      for (PeerReport& peer : view.peers) {
        if (silent.count(peer.process) > 0)
          continue;
        peer.asked_at = view.now;
        if (peers_fold)
          peer.folded_next = fold->state().next;
      }
      decision = DecideOwnership(fold->state(), view, memory);
      for (const Record& record : decision.records)
        proposed.push_back(record);
    }
  }
  bool Usable() const { return decision.usable.count(kTarget) > 0; }
  template <typename Kind>
  size_t Proposed() const {
    size_t count = 0;
    for (const Record& record : proposed)
      count += std::holds_alternative<Kind>(record) ? 1 : 0;
    return count;
  }
  // Processes sorted by descending weight for the resource.
  std::vector<ProcessId> Ranked() const {
    std::vector<ProcessId> ranked = {kA, kB, kC};
    std::sort(ranked.begin(), ranked.end(), [](const auto& x, const auto& y) {
      return RendezvousWeight(kTarget, x) > RendezvousWeight(kTarget, y);
    });
    return ranked;
  }
  void Become(const ProcessId& process) {
    view.self = process;
    memory = {};
  }
  std::vector<Record> proposed;
};

TEST_CASE("an unowned resource is claimed in order of rank", "[ownership]") {
  OwnershipScenario s;
  s.Become(s.Ranked()[0]);

  SECTION("the first claims at once and uses it once that is folded") {
    s.Run(milliseconds(100));
    REQUIRE(s.Proposed<Claim>() == 1);
    CHECK_FALSE(s.Usable());
    s.Add(s.proposed.back());
    s.Run(milliseconds(100));
    CHECK(s.Usable());
    SECTION("but not after its permission expired") {
      s.reads_log = false;
      s.silent = {kA, kB, kC};
      s.Run(milliseconds(2800));
      CHECK(s.Usable());
      s.Run(milliseconds(200));
      CHECK_FALSE(s.Usable());
    }
    SECTION("and while draining only hands it over") {
      s.view.draining = true;
      s.Run(milliseconds(100));
      CHECK_FALSE(s.Usable());
      CHECK(s.decision.hand_over.at(kTarget) == Epoch(1));
    }
  }
  SECTION("the claim is not repeated while it is in progress") {
    s.Run(seconds(4));
    CHECK(s.Proposed<Claim>() == 1);
  }
  SECTION("nothing is claimed while draining") {
    s.view.draining = true;
    s.Run(seconds(4));
    CHECK(s.proposed.empty());
  }
}

TEST_CASE("each further rank waits one more second", "[ownership]") {
  OwnershipScenario s;
  s.Become(s.Ranked()[2]);
  s.Run(milliseconds(1900));
  CHECK(s.Proposed<Claim>() == 0);
  s.Run(milliseconds(300));
  CHECK(s.Proposed<Claim>() == 1);

  SECTION("and keeps what better-ranked members did not claim") {
    // Guards against an endless loop of a hand-over and a new claim 1 s later.
    s.Add(s.proposed.back());
    s.Run(seconds(20));
    CHECK(s.Usable());
  }
}

TEST_CASE("a takeover waits for a majority and then 3.2 s", "[ownership]") {
  OwnershipScenario s;
  const auto ranked = s.Ranked();
  s.Become(ranked[0]);
  s.Add(Claim{kTarget, ranked[1], Epoch(0)});
  s.Run(seconds(2));
  REQUIRE(s.Proposed<Claim>() == 0);
  s.silent = {ranked[1]};
  s.Run(milliseconds(1500));
  CHECK(s.Proposed<Claim>() == 0);
  s.Run(milliseconds(200));
  REQUIRE(s.Proposed<Claim>() == 1);
  s.Add(s.proposed.back());

  SECTION("the time counts from the majority, not the claim") {
    s.Run(seconds(10), false);
    CHECK_FALSE(s.Usable());
    s.Run(milliseconds(3200));
    CHECK_FALSE(s.Usable());
    s.Run(milliseconds(200));
    CHECK(s.Usable());
  }
  SECTION("until then the resource is not released either") {
    s.view.draining = true;
    s.Run(seconds(3));
    CHECK(s.decision.hand_over.empty());
    s.Run(seconds(1));
    CHECK(s.decision.hand_over.size() == 1);
  }
  SECTION("a process without a majority does not take over") {
    s.silent = {kA, kB, kC};
    s.Run(milliseconds(1600));
    s.Add(Claim{kTarget, ranked[1], Epoch(2)});
    s.Run(seconds(30));
    CHECK(s.Proposed<Claim>() == 1);
    SECTION("unless the VMs of the others have left the list") {
      s.view.listed_vms = {s.fold->state()
                               .members.at({kLuzon, Role::kEntry})
                               .members.at(s.view.self)
                               .vm};
      s.Run(milliseconds(100));
      REQUIRE(s.Proposed<Claim>() == 2);
      s.Add(s.proposed.back());
      s.Run(milliseconds(3400));
      CHECK(s.Usable());
    }
    SECTION("and a list without its own VM is ignored") {
      s.view.listed_vms = {};
      s.Run(seconds(30));
      CHECK(s.Proposed<Claim>() == 1);
    }
  }
}

TEST_CASE("permission comes from the log or a majority", "[ownership]") {
  OwnershipScenario s;
  s.view.peers.clear();
  const LogOffset next = s.fold->state().next;
  CHECK_FALSE(PermitUntil(s.fold->state(), s.view));
  const auto report = [&](const ProcessId& process, LogOffset folded, int age) {
    s.view.peers.push_back(
        {process, folded, s.view.now - milliseconds(age), false});
    return PermitUntil(s.fold->state(), s.view);
  };
  SECTION("a freshness proof counts from when the log was read") {
    s.view.proof = s.view.now - seconds(2);
    CHECK(PermitUntil(s.fold->state(), s.view) == s.view.now + seconds(1));
  }
  SECTION("a peer that has folded more entries does not count") {
    CHECK_FALSE(report(kB, next.Next(), 100));
    CHECK(report(kC, next, 400) == s.view.now + milliseconds(2600));
  }
  SECTION("non-members and repeated reports do not count") {
    s.Add(Join{MakeMember("d"), MembershipVersion(3)});
    CHECK_FALSE(report(MakeProcess("z"), next, 100));
    CHECK_FALSE(report(kB, next, 100));
    CHECK_FALSE(report(kB, next, 100));
    CHECK(report(kC, next, 200) == s.view.now + milliseconds(2800));
  }
}

TEST_CASE("membership changes are settled and lost members removed",
          "[ownership]") {
  OwnershipScenario s;
  s.view.resources.clear();

  SECTION("a change is settled once a majority has folded it") {
    s.Run(milliseconds(100));
    s.Add(Join{MakeMember("d"), MembershipVersion(3)});
    s.Run(seconds(1), false);
    CHECK(s.proposed.empty());
    s.Run(milliseconds(100));
    CHECK(s.proposed == std::vector<Record>{MembersSettled{
                            kLuzon, Role::kEntry, MembershipVersion(4)}});
  }
  SECTION("a member whose VM is missing for 10 s is removed") {
    s.silent = {kC};
    s.Run(seconds(30));
    CHECK(s.proposed.empty());
    s.view.listed_vms.erase(VmId("c"));
    s.Run(milliseconds(9900));
    CHECK(s.proposed.empty());
    s.Run(milliseconds(200));
    CHECK(s.proposed == std::vector<Record>{Leave{kC, kLuzon, Role::kEntry,
                                                  MembershipVersion(3)}});
  }
  SECTION("but not while it answers, because the list lags") {
    s.view.listed_vms.erase(VmId("c"));
    s.Run(seconds(30));
    CHECK(s.proposed.empty());
  }
}

TEST_CASE("an owner hands over to a better-ranked member", "[ownership]") {
  OwnershipScenario s;
  const auto ranked = s.Ranked();
  s.Become(ranked[1]);
  s.silent = {ranked[0]};
  s.Add(Claim{kTarget, ranked[1], Epoch(0)});
  s.Run(seconds(5));
  REQUIRE(s.Usable());
  s.silent = {};
  s.Run(milliseconds(2500));

  SECTION("that was alive for 5 s without interruption") {
    s.Run(milliseconds(2400));
    CHECK(s.Usable());
    s.Run(milliseconds(300));
    CHECK_FALSE(s.Usable());
    CHECK(s.decision.hand_over.count(kTarget) == 1);
    SECTION("and stops using the resource while it may be released") {
      s.silent = {ranked[0]};
      s.Run(seconds(10));
      CHECK_FALSE(s.Usable());
    }
  }
  SECTION("not after an interruption") {
    s.silent = {ranked[0]};
    s.Run(seconds(2));
    s.silent = {};
    s.Run(milliseconds(4900));
    CHECK(s.Usable());
  }
  SECTION("not to one that drains") {
    s.Peer(ranked[0]).draining = true;
    s.Run(seconds(10));
    CHECK(s.Usable());
  }
  SECTION("not while the log cannot be reached") {
    s.reads_log = false;
    s.Run(seconds(4));
    CHECK(s.Usable());
  }
}

}  // namespace
}  // namespace cowslipmast
