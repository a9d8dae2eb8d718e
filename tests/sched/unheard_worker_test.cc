// A worker of which nothing is heard, while the requests to it neither end nor
// fail.

#include <catch2/catch.hpp>

#include "tests/sched/simulated_cell.h"

namespace cowslipmast::sched {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("a worker is gone and requests for its listing never end",
          "[sched][lost]") {
  SimulatedCell cell;
  cell.SetQueue("q", MakePolicy(1, 3));
  cell.AddWorkers(2, 16, 64000);
  StepSpec step = MakeLongRunningStep(2, 1);
  step.need.cpu = MilliCores(1950);
  cell.Submit(MakeJob("l", "q", {step}));
  cell.Run(seconds(7));
  REQUIRE(cell.CountRunning("l") == 2);
  const auto lost = cell.WorkerOf({JobId("l"), 0, 0, 0});
  REQUIRE(lost);
  cell.worker(*lost).hangs_listings = true;

  SECTION("its tasks run elsewhere once its lease has ended") {
    cell.StopWorker(*lost);
    cell.Run(seconds(25));
    CHECK(cell.CountRunning("l") == 2);
    CHECK(cell.observations().violations.empty());
  }
  SECTION("its tasks run elsewhere although the owner changes with its loss") {
    cell.StopWorker(*lost);
    cell.ReplaceOwner();
    cell.Run(seconds(30));
    CHECK(cell.CountRunning("l") == 2);
    CHECK(cell.observations().violations.empty());
  }
  SECTION("although starts are sent to it") {
    cell.StopWorker(*lost);
    for (int i = 0; i < 25; ++i) {
      cell.Submit(
          MakeJob("s" + std::to_string(i), "q", {MakeStep(12, 1, 500, 0.5)}));
      cell.Run(seconds(1));
    }
    CHECK(cell.CountRunning("l") == 2);
  }
  SECTION("if it runs on it has ended the runs before they start elsewhere") {
    cell.Run(seconds(40));
    CHECK(cell.CountRunning("l") == 2);
    CHECK(cell.observations().violations.empty());

    SECTION("and it is used again once it is heard") {
      cell.worker(*lost).hangs_listings = false;
      cell.Run(seconds(2));
      cell.Submit(MakeJob("more", "q", {MakeLongRunningStep(20, 1)}));
      cell.Run(seconds(3));
      CHECK(cell.CountRunning("more") == 20);
      CHECK(cell.observations().violations.empty());
    }
  }
}

TEST_CASE("an owner that did not run for a while has not lost its workers",
          "[sched][lost]") {
  Policy policy;
  policy.queues[QueueId("q")] = MakePolicy(1, 3);
  const TimePoint start(seconds(100));
  const auto at = [&](int ms) { return start + milliseconds(ms); };
  const auto wall = [&](int ms) { return WallTime(at(ms).time_since_epoch()); };
  const auto scheduler = Scheduler::Make({}, start);
  scheduler->SetPolicy(policy, start);
  scheduler->FinishRestore(start);
  WorkerInfo info;
  info.id = WorkerId("w");
  info.service = ServiceId("pool");
  info.capacity.cpu = MilliCores(16000);
  info.capacity.memory = Mebibytes(64000);
  scheduler->UpsertWorker(info, start);
  WorkerListing listing;
  listing.clock = WorkerClock(1000);
  scheduler->OnListing(info.id, listing, at(1), at(2));
  scheduler->MakePlan(at(10), wall(10));
  scheduler->OnStored(at(20));

  SECTION("it plans with them as before") {
    scheduler->AddJob(MakeJob("j", "q", {MakeStep(1, 1, 100, 1)}), at(30000),
                      wall(30000));
    CHECK(scheduler->MakePlan(at(30000), wall(30000)).starts.size() == 1);
  }
  SECTION("one that has run all the time takes them for unreachable") {
    for (int ms = 20; ms < 30000; ms += 200)
      scheduler->MakePlan(at(ms), wall(ms));
    scheduler->AddJob(MakeJob("j", "q", {MakeStep(1, 1, 100, 1)}), at(30000),
                      wall(30000));
    CHECK(scheduler->MakePlan(at(30000), wall(30000)).starts.empty());
  }
}

}  // namespace
}  // namespace cowslipmast::sched
