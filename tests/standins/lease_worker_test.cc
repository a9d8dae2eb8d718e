#include <catch2/catch.hpp>

#include "standins/worker/lease_worker.h"
#include "standins/worker/lease_worker_json.h"

namespace cowslipmast::standins {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(100)};
constexpr WallTime kWallStart{seconds(1000)};
const TaskId kTask{JobId("job"), 0};

VmInfo MakeVm() {
  VmInfo vm;
  vm.id = VmId("w");
  vm.resources = {MilliCores(2000), Mebibytes(100), Accelerators(0)};
  return vm;
}

TaskKindTable MakeTaskKindTable() {
  const Json json = {
      {"kinds", {{"long", {{"run_ms", 2000}, {"usage_percent", 150}}}}},
      {"interference",
       {{{"kind", "long"}, {"beside", "noisy"}, {"percent", 200}}}}};
  return *TaskKindTable::FromJson(json);
}

StartTaskCommand MakeStart(uint32_t index, const std::string& kind = "plain") {
  StartTaskCommand command;
  command.epoch = Epoch(5);
  command.run = {{JobId("job"), index}, Attempt(1)};
  command.kind = kind;
  command.resources = {MilliCores(1000), Mebibytes(10), Accelerators(0)};
  command.not_after = kWallStart;
  command.lease = seconds(15);
  command.run_time = seconds(1);
  return command;
}

struct LeaseWorkerFixture {
  TaskKindTable table = MakeTaskKindTable();
  InvariantChecker checker{seconds(3)};
  LeaseWorker worker{MakeVm(), table, checker, {}};
  CommandRefusal refusal = CommandRefusal::kUnknownTask;

  LeaseWorkerFixture() { worker.Advance(kStart); }
  bool Start(const StartTaskCommand& command, WallTime now = kWallStart) {
    return worker.Start(command, now, refusal);
  }
  void AdvanceTo(Duration after) { worker.Advance(kStart + after); }
};

TEST_CASE("a worker runs tasks under leases", "[standins]") {
  LeaseWorkerFixture fixture;
  LeaseWorker& worker = fixture.worker;
  REQUIRE(fixture.Start(MakeStart(0)));

  SECTION("a task ends as done and is remembered until acknowledged") {
    fixture.AdvanceTo(milliseconds(999));
    CHECK(worker.leases().size() == 1);
    fixture.AdvanceTo(milliseconds(1001));
    REQUIRE(worker.finished().size() == 1);
    CHECK(worker.finished()[0].result == LeaseOutcome::kDone);
    CHECK(LeasesToJson(worker)["finished"][0]["result"] == "done");

    SECTION("so a repeated start is refused") {
      CHECK_FALSE(fixture.Start(MakeStart(0)));
      CHECK(fixture.refusal == CommandRefusal::kAlreadyStarted);
    }
    SECTION("and is dropped after the acknowledgement") {
      CHECK(worker.Ack(Epoch(5), {{kTask, Attempt(1)}}, fixture.refusal));
      CHECK(worker.finished().empty());
    }
  }
  SECTION("a task whose lease expires ends as lost") {
    StartTaskCommand command = MakeStart(1);
    command.run_time = Duration(0);
    REQUIRE(fixture.Start(command));
    fixture.AdvanceTo(seconds(14));
    CHECK(worker.leases().size() == 1);
    SECTION("unless it was renewed") {
      CHECK(worker.Renew(Epoch(5), seconds(15), fixture.refusal));
      fixture.AdvanceTo(seconds(28));
      CHECK(worker.leases().size() == 1);
    }
    fixture.AdvanceTo(seconds(30));
    REQUIRE(worker.leases().empty());
    CHECK(worker.finished().back().result == LeaseOutcome::kLost);
  }
  SECTION("a checkpoint keeps the work that was done") {
    fixture.AdvanceTo(milliseconds(400));
    CHECK(worker.Checkpoint(Epoch(5), kTask, fixture.refusal));
    CHECK(LeasesToJson(worker)["leases"][0]["state"] == "checkpointing");
    fixture.AdvanceTo(milliseconds(700));
    REQUIRE(worker.finished().size() == 1);
    CHECK(worker.finished()[0].result == LeaseOutcome::kEvicted);

    StartTaskCommand resumed = MakeStart(0);
    resumed.run.attempt = Attempt(2);
    resumed.checkpoint = worker.finished()[0].checkpoint;
    REQUIRE(fixture.Start(resumed));
    fixture.AdvanceTo(milliseconds(700 + 601));
    CHECK(worker.finished().back().result == LeaseOutcome::kDone);
    CHECK(fixture.checker.violations().empty());
  }
  SECTION("a stop ends a task without a checkpoint") {
    CHECK(worker.Stop(Epoch(5), kTask, fixture.refusal));
    CHECK(worker.finished()[0].result == LeaseOutcome::kEvicted);
    CHECK(worker.finished()[0].checkpoint.empty());
  }
  SECTION("a throttled task takes longer") {
    CHECK(worker.Throttle(Epoch(5), kTask, 50, fixture.refusal));
    fixture.AdvanceTo(milliseconds(1900));
    CHECK(worker.leases().size() == 1);
    fixture.AdvanceTo(milliseconds(2001));
    CHECK(worker.leases().empty());
  }
  SECTION("a restart loses all tasks") {
    worker.Restart();
    CHECK(worker.finished()[0].result == LeaseOutcome::kLost);
  }
}

TEST_CASE("a worker refuses commands that would violate a guarantee",
          "[standins]") {
  LeaseWorkerFixture fixture;
  REQUIRE(fixture.Start(MakeStart(0)));

  SECTION("commands of an owner that was replaced") {
    CHECK(fixture.worker.Fence(Epoch(6), fixture.refusal));
    CHECK_FALSE(fixture.Start(MakeStart(1)));
    CHECK(fixture.refusal == CommandRefusal::kStaleEpoch);
    CHECK_FALSE(fixture.worker.Renew(Epoch(5), seconds(15), fixture.refusal));
    CHECK_FALSE(fixture.worker.Stop(Epoch(5), kTask, fixture.refusal));
  }
  SECTION("a start that arrives after its not_after") {
    CHECK_FALSE(fixture.Start(MakeStart(1), kWallStart + Duration(1)));
    CHECK(fixture.refusal == CommandRefusal::kStartDeadlinePassed);
  }
  SECTION("a task that it runs already") {
    StartTaskCommand again = MakeStart(0);
    again.run.attempt = Attempt(2);
    CHECK_FALSE(fixture.Start(again));
    CHECK(fixture.refusal == CommandRefusal::kAlreadyStarted);
  }
  SECTION("a task that exceeds its free resources") {
    REQUIRE(fixture.Start(MakeStart(1)));
    CHECK_FALSE(fixture.Start(MakeStart(2)));
    CHECK(fixture.refusal == CommandRefusal::kNoCapacity);
  }
  SECTION("a task that it does not run") {
    CHECK_FALSE(fixture.worker.Checkpoint(Epoch(5), {JobId("job"), 9},
                                          fixture.refusal));
    CHECK(fixture.refusal == CommandRefusal::kUnknownTask);
  }
  SECTION("and without these checks the invariant checker reports violations") {
    fixture.worker.set_skip_start_checks(true);
    REQUIRE(fixture.Start(MakeStart(1)));
    REQUIRE(fixture.Start(MakeStart(2), kWallStart + Duration(1)));
    const auto& seen = fixture.checker.violations();
    REQUIRE(seen.size() == 2);
    CHECK(seen[0].kind == WorkerViolationKind::kOverCapacity);
    CHECK(seen[1].kind == WorkerViolationKind::kStartedTooLate);
  }
}

TEST_CASE("the kind of a task determines its behaviour", "[standins]") {
  LeaseWorkerFixture fixture;
  REQUIRE(fixture.Start(MakeStart(0, "long")));

  SECTION("the table overrides the declared run time") {
    fixture.AdvanceTo(milliseconds(1999));
    CHECK(fixture.worker.leases().size() == 1);
    fixture.AdvanceTo(milliseconds(2001));
    CHECK(fixture.worker.leases().empty());
  }
  SECTION("another task slows a task down while both run") {
    REQUIRE(fixture.Start(MakeStart(1, "noisy")));
    // Half speed for 1 s while the other task runs, then full speed for 1.5 s.
    fixture.AdvanceTo(milliseconds(2490));
    CHECK(fixture.worker.leases().size() == 1);
    fixture.AdvanceTo(milliseconds(2510));
    CHECK(fixture.worker.leases().empty());
  }
  SECTION("usage is reported with a lag and may exceed what was declared") {
    CHECK(fixture.worker.leases()[0].usage.cpu.count() == 0);
    fixture.AdvanceTo(milliseconds(1990));
    CHECK(fixture.worker.leases()[0].usage.cpu.count() == 0);
    REQUIRE(fixture.worker.Throttle(Epoch(5), kTask, 10, fixture.refusal));
    fixture.AdvanceTo(milliseconds(2050));
    REQUIRE(fixture.worker.leases().size() == 1);
    CHECK(fixture.worker.leases()[0].usage.cpu.count() == 150);
    CHECK(fixture.worker.leases()[0].usage.memory.count() == 15);
  }
  SECTION("tasks fail on a worker that fails all tasks") {
    fixture.worker.set_fail_all_tasks(true);
    REQUIRE(fixture.Start(MakeStart(1)));
    fixture.AdvanceTo(milliseconds(11));
    REQUIRE(fixture.worker.finished().size() == 1);
    CHECK(fixture.worker.finished()[0].result == LeaseOutcome::kFailed);
  }
}

TEST_CASE("bodies of start commands are parsed", "[standins]") {
  Json body = {{"epoch", 1},
               {"job", "j"},
               {"index", 0},
               {"attempt", 1},
               {"kind", "k"},
               {"resources", {{"cpu_millis", 100}}},
               {"not_after_unix_ms", 5},
               {"lease_ms", 10},
               {"run_ms", 20}};
  CHECK(ParseStart(body));
  SECTION("are refused with a field of the wrong type") {
    body["index"] = -1;
    CHECK_FALSE(ParseStart(body));
  }
  SECTION("are refused if a field is missing") {
    body.erase("not_after_unix_ms");
    CHECK_FALSE(ParseStart(body));
  }
}

}  // namespace
}  // namespace cowslipmast::standins
