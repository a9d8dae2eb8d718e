#include "cowslipmast/fold.h"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "tests/fold/fake_stream.h"

namespace cowslipmast {
namespace {

const ProcessId kA = MakeProcess("a");
const ProcessId kB = MakeProcess("b");
const std::string kConfigText = R"([[region]]
id = "luzon"
[[data_centre]]
id = "cebu"
region = "luzon"
state = "in"
[[service]]
id = "desk"
deadline_ms = 1000
slots = 4
[[worker_class]]
id = "standard"
cores = 64
memory_mib = 256000
rack_size = 8
[[team]]
id = "quotes"
cores = 100
memory_mib = 4000
)";

struct FoldScenario {
  FakeStream stream;
  std::unique_ptr<ControlFold> fold = ControlFold::Make();

  // Appends the records in one batch; true if all of them took effect.
  bool Add(std::vector<Record> records) {
    const uint64_t before = fold->counters().void_records;
    stream.Add(std::move(records));
    stream.FoldInto(*fold);
    return fold->counters().void_records == before;
  }
  const Ownership& owner(const ResourceId& resource) {
    return fold->state().ownership.at(resource);
  }
  const MemberTable& table() {
    return fold->state().members.at({kLuzon, Role::kEntry});
  }
};

TEST_CASE("claims are fenced by epochs", "[fold]") {
  FoldScenario s;
  REQUIRE(s.Add({Claim{kTarget, kA, Epoch(0)}}));
  CHECK(s.owner(kTarget) == Ownership{kA, Epoch(1), LogOffset(0), false});

  SECTION("the second of two claims with one base epoch is void") {
    CHECK_FALSE(s.Add({Claim{kTarget, kB, Epoch(0)}}));
    CHECK(s.owner(kTarget).owner == kA);
  }
  SECTION("a claim on an owned resource is a takeover") {
    REQUIRE(s.Add({Claim{kTarget, kB, Epoch(1)}}));
    CHECK(s.owner(kTarget) == Ownership{kB, Epoch(2), LogOffset(1), true});
    SECTION("and the release by the previous owner is void") {
      CHECK_FALSE(s.Add({Release{kTarget, Epoch(1)}}));
    }
  }
  SECTION("a claim after a release is not a takeover") {
    REQUIRE(s.Add({Release{kTarget, Epoch(1)}}));
    CHECK_FALSE(s.Add({Release{kTarget, Epoch(1)}}));
    // Guards against an epoch that restarts and lets an old claim succeed.
    CHECK_FALSE(s.Add({Claim{kTarget, kB, Epoch(0)}}));
    REQUIRE(s.Add({Claim{kTarget, kB, Epoch(1)}}));
    CHECK(s.owner(kTarget) == Ownership{kB, Epoch(2), LogOffset(4), false});
  }
}

TEST_CASE("a publish with an old base version is void", "[fold]") {
  FoldScenario s;
  REQUIRE(s.Add({ConfigPublished{ConfigVersion(0), kConfigText, "ana"}}));
  CHECK_FALSE(s.Add({ConfigPublished{ConfigVersion(0), kConfigText, "ben"}}));
  CHECK_FALSE(s.Add({ConfigPublished{ConfigVersion(1), "bad", "ana"}}));
  CHECK(s.fold->state().config_version == ConfigVersion(1));
}

TEST_CASE("members change one at a time", "[fold]") {
  FoldScenario s;
  const auto join = [](const std::string& vm, uint64_t base, int i = 1) {
    return Join{MakeMember(vm, i), MembershipVersion(base)};
  };
  const auto settled = [](uint64_t version) {
    return MembersSettled{kLuzon, Role::kEntry, MembershipVersion(version)};
  };
  const auto leave = [](const ProcessId& process, uint64_t base) {
    return Leave{process, kLuzon, Role::kEntry, MembershipVersion(base)};
  };
  REQUIRE(s.Add({join("a", 0), settled(1), join("b", 1)}));
  CHECK(s.table().previous.size() == 1);

  SECTION("a change needs the previous one to be settled") {
    CHECK_FALSE(s.Add({join("c", 2)}));
    CHECK_FALSE(s.Add({leave(kA, 2)}));
    CHECK_FALSE(s.Add({settled(1)}));
    REQUIRE(s.Add({settled(2), join("c", 2)}));
    CHECK(s.table().members.size() == 3);
  }
  SECTION("a new incarnation replaces the previous one at any time") {
    // Guards against a crash after a Join that blocks all further changes.
    REQUIRE(s.Add({join("b", 2, 2)}));
    CHECK(s.table().members.count(kB) == 0);
    CHECK(s.table().members.count(MakeProcess("b", 2)) == 1);
    CHECK(s.table().settled < s.table().version);
    REQUIRE(s.Add({settled(3)}));
    REQUIRE(s.Add({join("a", 3, 2)}));
    CHECK(s.table().settled == s.table().version);
  }
  SECTION("after the last member left, the next can join") {
    REQUIRE(s.Add({settled(2), leave(kA, 2), settled(3), leave(kB, 3)}));
    CHECK(s.Add({join("c", 4)}));
  }
}

TEST_CASE("only the owner of a data centre places its jobs", "[fold]") {
  FoldScenario s;
  const JobId job("job");
  const DataCentreId cebu("cebu");
  JobSpec spec;
  spec.id = job;
  spec.task_count = 2;
  spec.data_centres = {cebu};
  REQUIRE(s.Add({JobSubmitted{spec}, Claim{kCebu, kA, Epoch(0)}}));
  CHECK_FALSE(s.Add({JobSubmitted{spec}}));
  CHECK_FALSE(s.Add({JobPlaced{job, cebu, Epoch(0)}}));
  CHECK_FALSE(s.Add({JobPlaced{job, DataCentreId("bulacan"), Epoch(1)}}));
  REQUIRE(s.Add({JobPlaced{job, cebu, Epoch(1)}}));
  // Guards against a job that runs in two data centres.
  CHECK_FALSE(s.Add({JobPlaced{job, cebu, Epoch(1)}}));

  const auto release = [&](uint64_t epoch, uint32_t index) {
    TaskProgress progress;
    progress.index = index;
    progress.attempt = Attempt(2);
    return JobReleased{job, cebu, Epoch(epoch), {progress}};
  };
  SECTION("a release keeps the progress of previous releases") {
    REQUIRE(s.Add({release(1, 1), JobPlaced{job, cebu, Epoch(1)}}));
    REQUIRE(s.Add({release(1, 0)}));
    CHECK(s.fold->state().jobs.at(job).progress.size() == 2);
  }
  SECTION("an owner that was replaced can no longer release") {
    REQUIRE(s.Add({Claim{kCebu, kB, Epoch(1)}}));
    CHECK_FALSE(s.Add({release(1, 1)}));
    CHECK(s.Add({release(2, 1)}));
  }
  SECTION("a cancelled job is not placed again") {
    REQUIRE(s.Add({JobCancelled{job}, release(1, 1)}));
    CHECK_FALSE(s.Add({JobPlaced{job, cebu, Epoch(1)}}));
  }
}

TEST_CASE("ended jobs are removed from the state", "[fold]") {
  FoldScenario s;
  const DataCentreId cebu("cebu");
  const auto submit = [](const std::string& id) {
    JobSpec spec;
    spec.id = JobId(id);
    spec.task_count = 2;
    return JobSubmitted{spec};
  };
  const auto end = [&](const std::string& id, uint64_t epoch) {
    return JobEnded{JobId(id), cebu, Epoch(epoch), 1, 1};
  };
  REQUIRE(s.Add({submit("a"), Claim{kCebu, kA, Epoch(0)}}));
  CHECK_FALSE(s.Add({end("a", 1)}));
  REQUIRE(s.Add({JobPlaced{JobId("a"), cebu, Epoch(1)}}));
  const ControlState& state = s.fold->state();

  SECTION("a record of an old owner or another data centre is void") {
    // Guards against a paused owner that ends a job that runs elsewhere.
    REQUIRE(s.Add({Claim{kCebu, kB, Epoch(1)}}));
    CHECK_FALSE(s.Add({end("a", 1)}));
    CHECK_FALSE(
        s.Add({JobEnded{JobId("a"), DataCentreId("bulacan"), Epoch(2), 2, 0}}));
    CHECK(state.jobs.size() == 1);
    CHECK(state.ended_jobs.empty());
  }
  SECTION("only a small entry is kept, and its id stays in use") {
    REQUIRE(s.Add({end("a", 1)}));
    CHECK(state.jobs.empty());
    REQUIRE(FindEndedJob(state, JobId("a")));
    CHECK(*FindEndedJob(state, JobId("a")) ==
          EndedJob{JobId("a"), 1, 1, false});
    CHECK_FALSE(s.Add({end("a", 1)}));
    CHECK_FALSE(s.Add({submit("a")}));
    CHECK_FALSE(s.Add({JobCancelled{JobId("a")}}));
    CHECK_FALSE(s.Add({JobPlaced{JobId("a"), cebu, Epoch(1)}}));
  }
  SECTION("the digest covers ended jobs") {
    // Guards against processes that disagree about ended jobs without detecting
    // it.
    auto other = ControlFold::Make();
    s.stream.FoldInto(*other);
    REQUIRE(s.Add({end("a", 1)}));
    FakeStream differing = s.stream;
    differing.entries.pop_back();
    differing.Add({JobEnded{JobId("a"), cebu, Epoch(1), 2, 0}});
    differing.FoldInto(*other);
    REQUIRE(other->state().next == state.next);
    CHECK(other->Digest() != s.fold->Digest());
  }
  SECTION("a cancelled job without a data centre ends at once") {
    // Guards against jobs that no owner would ever remove.
    REQUIRE(s.Add({submit("b"), JobCancelled{JobId("b")}}));
    CHECK(FindEndedJob(state, JobId("b"))->cancelled);
    TaskProgress done;
    done.finished = true;
    REQUIRE(s.Add({JobCancelled{JobId("a")},
                   JobReleased{JobId("a"), cebu, Epoch(1), {done}}}));
    CHECK(*FindEndedJob(state, JobId("a")) == EndedJob{JobId("a"), 1, 0, true});
    CHECK(state.jobs.empty());
  }
  SECTION("the latest 1,000 are kept, also in a snapshot") {
    REQUIRE(s.Add({end("a", 1)}));
    for (int i = 0; i < 1000; ++i) {
      const std::string id = "job" + std::to_string(i);
      REQUIRE(s.Add(
          {submit(id), JobPlaced{JobId(id), cebu, Epoch(1)}, end(id, 1)}));
    }
    CHECK(state.ended_jobs.size() == 1000);
    CHECK(state.ended_jobs.front().id == JobId("job0"));
    CHECK_FALSE(FindEndedJob(state, JobId("a")));
    const uint64_t through = state.next.value() - 1;
    s.Add({Snapshot{LogOffset(through), s.fold->EncodeSnapshot()}});
    auto late = ControlFold::Make();
    late->Restart(LogOffset(through + 1));
    s.stream.FoldInto(*late);
    REQUIRE(late->complete());
    CHECK(late->state().ended_jobs == state.ended_jobs);
    CHECK(late->Digest() == s.fold->Digest());

    SECTION("the oldest is dropped first, and its id can be reused") {
      CHECK_FALSE(s.Add({submit("job0")}));
      REQUIRE(s.Add({submit("a"), JobPlaced{JobId("a"), cebu, Epoch(1)}}));
      REQUIRE(s.Add({end("a", 1)}));
      CHECK(s.Add({submit("job0")}));
      s.stream.FoldInto(*late);
      CHECK(late->Digest() == s.fold->Digest());
    }
  }
}

TEST_CASE("a data centre's stream drops the tasks of ended jobs", "[fold]") {
  const DataCentreId cebu("cebu");
  FakeStream stream;
  auto fold = DataCentreFold::Make(cebu);
  const auto outcome = [](const std::string& job) {
    return TaskOutcome{TaskId{JobId(job), 0}, Attempt(1), TaskResult::kDone,
                       ""};
  };
  stream.Add({TaskOutcomes{cebu, Epoch(2), {outcome("a"), outcome("b")}}});
  // Guards against tasks dropped by a previous owner or another data centre.
  stream.Add({JobEnded{JobId("a"), cebu, Epoch(1), 1, 0},
              JobEnded{JobId("a"), DataCentreId("bulacan"), Epoch(3), 1, 0}});
  stream.FoldInto(*fold);
  CHECK(fold->counters().void_records == 2);
  REQUIRE(fold->state().tasks.size() == 2);
  stream.Add({JobEnded{JobId("a"), cebu, Epoch(3), 1, 0}});
  // A late repetition under an earlier epoch must not add the task again.
  stream.Add({TaskOutcomes{cebu, Epoch(2), {outcome("a")}}});
  stream.FoldInto(*fold);
  REQUIRE(fold->state().tasks.size() == 1);
  CHECK(fold->state().tasks.contains(TaskId{JobId("b"), 0}));
}

TEST_CASE("outcomes count once and only with the highest epoch", "[fold]") {
  const DataCentreId cebu("cebu");
  const TaskId task{JobId("job"), 0};
  FakeStream stream;
  auto fold = DataCentreFold::Make(cebu);
  const auto add = [&](uint64_t epoch, uint64_t attempt, TaskResult result) {
    stream.Add({TaskOutcomes{
        cebu, Epoch(epoch), {{task, Attempt(attempt), result, "cp"}}}});
    stream.FoldInto(*fold);
    return fold->state().tasks.at(task);
  };
  CHECK(add(1, 1, TaskResult::kFailed).failures == 1);
  CHECK(add(2, 1, TaskResult::kFailed).failures == 1);
  CHECK(add(1, 2, TaskResult::kDone).finished == false);
  CHECK(fold->counters().void_records == 1);
  CHECK(add(2, 2, TaskResult::kEvicted).checkpoint == "cp");

  SECTION("the third failure ends the task") {
    add(2, 3, TaskResult::kFailed);
    const TaskProgress progress = add(2, 4, TaskResult::kFailed);
    CHECK((progress.finished && progress.failed));
  }
  SECTION("a snapshot keeps the highest epoch") {
    stream.Add({Snapshot{LogOffset(3), fold->EncodeSnapshot()}});
    auto late = DataCentreFold::Make(cebu);
    late->Restart(LogOffset(4));
    stream.FoldInto(*late);
    REQUIRE(late->complete());
    CHECK(late->state().tasks == fold->state().tasks);
    CHECK(add(1, 3, TaskResult::kDone).finished == false);
    stream.FoldInto(*late);
    CHECK(late->EncodeSnapshot() == fold->EncodeSnapshot());
  }
}

TEST_CASE("a late reader waits for a usable snapshot", "[fold]") {
  FoldScenario s;
  for (uint64_t i = 0; i < 6; ++i)
    s.Add({Claim{kTarget, kA, Epoch(i)}});
  const std::string state = s.fold->EncodeSnapshot();  // through 5
  auto late = ControlFold::Make();
  late->Restart(LogOffset(4));
  s.stream.FoldInto(*late);
  CHECK_FALSE(late->complete());
  CHECK(late->state().next == LogOffset(6));
  // Guards against a snapshot of an empty state, from which others would start.
  CHECK(late->EncodeSnapshot().empty());

  SECTION("a snapshot that is too old, too new or malformed is ignored") {
    s.Add({Snapshot{LogOffset(2), state}, Snapshot{LogOffset(6), state},
           Snapshot{LogOffset(5), "garbage"}});
    s.stream.FoldInto(*late);
    CHECK_FALSE(late->complete());
  }
  SECTION("the first usable one is installed, then later entries apply") {
    s.Add({Claim{kCebu, kB, Epoch(0)}});
    s.Add({Snapshot{LogOffset(5), state}});
    s.stream.FoldInto(*late);
    REQUIRE(late->complete());
    CHECK(late->state().ownership == s.fold->state().ownership);
    CHECK(late->Digest() == s.fold->Digest());
  }
}

// Returns one of a few records that often affect each other.
Record MakeRandomRecord() {
  const auto number = [](int bound) {
    return static_cast<uint64_t>(*rc::gen::inRange(0, bound));
  };
  const std::string vm(1, static_cast<char>('a' + number(3)));
  const ResourceId resource = number(2) == 0 ? kTarget : kCebu;
  const JobId job("job" + std::to_string(number(2)));
  const DataCentreId cebu("cebu");
  JobSpec spec;
  spec.id = job;
  spec.task_count = 1;
  switch (number(11)) {
    case 0:
      return Claim{resource, MakeProcess(vm), Epoch(number(3))};
    case 1:
      return Release{resource, Epoch(number(3))};
    case 2:
      return Join{MakeMember(vm, static_cast<int>(number(3))),
                  MembershipVersion(number(4))};
    case 3:
      return Leave{MakeProcess(vm), kLuzon, Role::kEntry,
                   MembershipVersion(number(4))};
    case 4:
      return MembersSettled{kLuzon, Role::kEntry, MembershipVersion(number(4))};
    case 5:
      return VmStateSet{VmId(vm), VmServiceState(number(3)), "cause"};
    case 6:
      return JobSubmitted{spec};
    case 7:
      return JobPlaced{job, cebu, Epoch(number(3))};
    case 8:
      return JobEnded{job, cebu, Epoch(number(3)), 1, 0};
    case 9:
      return JobCancelled{job};
    default:
      return ConfigPublished{ConfigVersion(number(3)), kConfigText, vm};
  }
}

TEST_CASE("all folds of one log have the same state", "[fold]") {
  // Guards against state missing from a snapshot, and against a repeated batch
  // that takes effect twice. Either would make two processes disagree about
  // owners.
  CHECK(rc::check([] {
    FakeStream stream;
    auto full = ControlFold::Make();
    std::vector<std::string> snapshots;
    const int count = *rc::gen::inRange(1, 40);
    for (int i = 0; i < count; ++i) {
      if (i > 0 && *rc::gen::inRange(0, 3) == 0)
        stream.entries.push_back(*rc::gen::elementOf(stream.entries));
      else
        stream.Add({MakeRandomRecord(), MakeRandomRecord()},
                   {1, *rc::gen::inRange<uint64_t>(0, 3)});
      stream.FoldInto(*full);
      snapshots.push_back(full->EncodeSnapshot());
    }
    const auto through = *rc::gen::inRange<uint64_t>(0, count);
    const auto oldest = *rc::gen::inRange<uint64_t>(0, through + 2);
    stream.Add({Snapshot{LogOffset(through), snapshots[through]}});
    stream.Add({MakeRandomRecord()});
    stream.FoldInto(*full);
    auto late = ControlFold::Make();
    late->Restart(LogOffset(oldest));
    stream.FoldInto(*late);
    RC_ASSERT(late->complete());
    RC_ASSERT(late->EncodeSnapshot() == full->EncodeSnapshot());
    RC_ASSERT(late->Digest() == full->Digest());
    RC_ASSERT(late->state().config == full->state().config);
  }));
}

TEST_CASE("memory for detecting duplicate batches is bounded", "[fold]") {
  FoldScenario s;
  s.Add({Claim{kTarget, kA, Epoch(0)}});
  const size_t one_producer = s.fold->EncodeSnapshot().size();
  for (int i = 0; i <= 10'000; ++i)
    s.stream.entries.emplace_back("foreign");
  s.stream.Add({}, {2, 2});
  s.stream.FoldInto(*s.fold);
  // The first producer was forgotten when the second came.
  CHECK(s.fold->EncodeSnapshot().size() == one_producer);
  CHECK(s.fold->counters().bad_entries == 10'001);
}

}  // namespace
}  // namespace cowslipmast
