#include "src/daemon/membership.h"

#include <catch2/catch.hpp>

#include <variant>

namespace cowslipmast {
namespace {

Member MakeMember(const char* name, Role role = Role::kEntry) {
  Member member;
  member.process = ProcessId(std::string(name) + "/entry/0");
  member.vm = VmId(name);
  member.region = RegionId("luzon");
  member.role = role;
  return member;
}

MemberTable& Table(ControlState& state, const Member& member) {
  return state.members[{member.region, member.role}];
}

void AddSettled(ControlState& state, const Member& member) {
  MemberTable& table = Table(state, member);
  table.members[member.process] = member;
  table.previous = table.members;
  table.version = table.version.Next();
  table.settled = table.version;
}

const auto kIdle = [](const ResourceId&) { return true; };
const auto kBusy = [](const ResourceId&) { return false; };

TEST_CASE("records that a process appends after a decision", "[daemon]") {
  ControlState state;
  const Member self = MakeMember("vm-1");
  OwnershipDecision decision;

  SECTION("it joins before it claims anything") {
    decision.records = {Claim{TargetId("t"), self.process, Epoch(0)}};
    const auto records = PlanRecords(state, self, true, decision, kIdle);
    REQUIRE(records.size() == 1);
    CHECK(std::holds_alternative<Join>(records[0]));
  }

  SECTION("it does not join while another change is not settled") {
    AddSettled(state, MakeMember("vm-2"));
    MemberTable& table = Table(state, self);
    table.version = table.version.Next();
    CHECK(PlanRecords(state, self, true, decision, kIdle).empty());
    CHECK_FALSE(PlanLeave(state, MakeMember("vm-2")));
  }

  SECTION("once it is a member") {
    AddSettled(state, self);
    decision.records = {MembersSettled{self.region, self.role, {}}};
    decision.hand_over[TargetId("t")] = Epoch(3);

    SECTION("it settles membership changes even while it drains") {
      // Guards against a planned stop of all processes that never ends.
      CHECK(PlanRecords(state, self, false, decision, kBusy).size() == 1);
    }
    SECTION("it releases a resource to hand over only when that is idle") {
      CHECK(PlanRecords(state, self, true, decision, kBusy).size() == 1);
      const auto records = PlanRecords(state, self, true, decision, kIdle);
      REQUIRE(records.size() == 2);
      CHECK(std::get<Release>(records[1]).epoch == Epoch(3));
    }
    SECTION("it leaves once it owns nothing") {
      state.ownership[TargetId("t")].owner = self.process;
      CHECK(OwnsAnything(state, self.process));
      state.ownership[TargetId("t")].owner.reset();
      CHECK_FALSE(OwnsAnything(state, self.process));
      CHECK(PlanLeave(state, self));
    }
  }
}

TEST_CASE("the peers that a process connects to", "[daemon]") {
  ControlState state;
  const Member self = MakeMember("vm-2");
  Member remote = MakeMember("vm-9");
  remote.region = RegionId("visayas");
  AddSettled(state, self);
  AddSettled(state, MakeMember("vm-1"));
  AddSettled(state, MakeMember("vm-3"));
  AddSettled(state, MakeMember("vm-4", Role::kPlacer));
  AddSettled(state, remote);

  const auto peers = ChoosePeers(state, self);
  REQUIRE(peers.size() == 3);
  CHECK(peers[0].heartbeat_interval < peers[2].heartbeat_interval);

  SECTION("it reads the log from a peer of its region with a lower id") {
    std::vector<PeerView> views;
    views.reserve(peers.size());
    for (const PeerSpec& spec : peers)
      views.push_back({.member = spec.member,
                       .link = PeerLink::kUp,
                       .last = std::nullopt,
                       .asked_at = {}});
    const auto sources = ChooseLogPeers(views, self);
    REQUIRE(sources.size() == 1);
    CHECK(sources[0] == MakeMember("vm-1").process);
    SECTION("and from the store when that peer is down") {
      views[0].link = PeerLink::kDown;
      CHECK(ChooseLogPeers(views, self).empty());
    }
  }
}

}  // namespace
}  // namespace cowslipmast
