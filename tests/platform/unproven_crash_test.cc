// Workers that are cut off, or that leave as planned, while they run a task.
// Guards against a job that is shown as failed, or that stays without a run,
// although none of its tasks has failed or crashed a worker.

#include <catch2/catch.hpp>

#include "tests/platform/test_system.h"

namespace cowslipmast::platform {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kWorkers = 2;
const char kJobId[] = "00000000000000f1";

TestOptions ShortLeases() {
  TestOptions options;
  options.lease = seconds(2);
  return options;
}

// The worker lives on, but is not heard, and the platform drops its entry.
void CutOff(TestSystem& system, size_t worker) {
  std::string id;
  system.WithWorker(worker, [&id](WorkerStandIn& w) {
    w.SetUnresponsive(true);
    id = w.id();
  });
  system.PutRecord("keyed.servers", id, "");
}

void Reconnect(TestSystem& system, size_t worker) {
  system.WithWorker(worker, [](WorkerStandIn& w) { w.SetUnresponsive(false); });
  system.AnnounceWorker(worker);
}

// Announces that the worker leaves, ends it and starts it again under its id.
// Its new entry is known before the new instance answers.
void RestartAsPlanned(TestSystem& system, size_t worker) {
  std::string id;
  std::string entry;
  system.WithWorker(worker, [&id, &entry](WorkerStandIn& w) {
    id = w.id();
    entry = w.DrainingStoreEntry();
  });
  system.PutRecord("keyed.servers", id, entry);
  std::this_thread::sleep_for(milliseconds(100));
  bool listens = false;
  system.WithWorker(worker, [&listens](WorkerStandIn& w) {
    w.SetUnresponsive(true);
    listens = w.Restart();
  });
  REQUIRE(listens);
  system.AnnounceWorker(worker);
  std::this_thread::sleep_for(milliseconds(300));
  system.WithWorker(worker, [](WorkerStandIn& w) { w.SetUnresponsive(false); });
}

// `round` counts the runs that have ended by no fault of the task.
void RequireNotFailed(TestSystem& system, int round) {
  const std::string state = system.StateOf(system.process(0), kJobId);
  INFO("round " << round);
  REQUIRE(state != "failed");
}

void CheckHasRun(TestSystem& system) {
  CHECK(system.WaitForRun(kJobId, seconds(10)));
  CHECK(system.WaitForState(system.process(0), kJobId, "active", seconds(5)));
  CHECK(system.Observations().violations.empty());
}

// Waits for a run and cuts its worker off when it has lasted for `duration`.
size_t CutOffNextRun(TestSystem& system, int round, milliseconds duration) {
  const auto worker = system.WaitForRun(kJobId, seconds(10));
  RequireNotFailed(system, round);
  REQUIRE(worker);
  std::this_thread::sleep_for(duration);
  CutOff(system, *worker);
  return *worker;
}

// Each run is cut off and ends with its lease. The worker answers again once
// the next one is cut off as well.
void CutOffRepeatedly(TestSystem& system, int rounds, milliseconds duration) {
  std::optional<size_t> previous;
  for (int round = 1; round <= rounds; ++round) {
    const size_t worker = CutOffNextRun(system, round, duration);
    if (previous)
      Reconnect(system, *previous);
    previous = worker;
    REQUIRE(system.WaitForEndOfRun(kJobId, worker, seconds(5)));
  }
  system.WaitForRun(kJobId, seconds(10));
  Reconnect(system, *previous);
  std::this_thread::sleep_for(seconds(1));
  RequireNotFailed(system, rounds);
}

TEST_CASE("a worker that ends a run without a crash", "[unproven]") {
  TestSystem system(kWorkers, 1, ShortLeases());
  REQUIRE(system.WaitForOwner(seconds(10)));
  system.SetTaskDuration(seconds(60));

  SECTION("was cut off when a long-running task had just started") {
    REQUIRE(system.SubmitOneTask(kJobId, TaskKind::kLongRunning) == 200);
    CutOffRepeatedly(system, 3, milliseconds(0));
    CheckHasRun(system);
  }
  SECTION("was cut off when a short task had just started") {
    REQUIRE(system.SubmitOneTask(kJobId, TaskKind::kShort) == 200);
    CutOffRepeatedly(system, 3, milliseconds(0));
    CheckHasRun(system);
  }
  SECTION("was cut off while a long-running task ran") {
    REQUIRE(system.SubmitOneTask(kJobId, TaskKind::kLongRunning) == 200);
    CutOffRepeatedly(system, 5, milliseconds(1200));
    CheckHasRun(system);
  }
  SECTION("left as planned and started again") {
    REQUIRE(system.SubmitOneTask(kJobId, TaskKind::kShort) == 200);
    for (int round = 1; round <= 4; ++round) {
      const auto worker = system.WaitForRun(kJobId, seconds(10));
      RequireNotFailed(system, round);
      REQUIRE(worker);
      RestartAsPlanned(system, *worker);
    }
    std::this_thread::sleep_for(seconds(1));
    RequireNotFailed(system, 4);
    CheckHasRun(system);
  }
}

TEST_CASE("a worker is cut off and its owner restarts", "[unproven-owner]") {
  TestSystem system(kWorkers, 1, ShortLeases());
  REQUIRE(system.WaitForOwner(seconds(10)));
  system.SetTaskDuration(seconds(60));
  REQUIRE(system.SubmitOneTask(kJobId, TaskKind::kLongRunning) == 200);

  SECTION("once the lease has ended") {
    const int rounds = 5;
    for (int round = 1; round <= rounds; ++round) {
      const size_t worker = CutOffNextRun(system, round, milliseconds(0));
      // The task waits until the owner has restarted.
      CutOff(system, 1 - worker);
      REQUIRE(system.WaitForEndOfRun(kJobId, worker, seconds(5)));
      std::this_thread::sleep_for(seconds(1));
      system.RestartProcess(0);
      REQUIRE(system.WaitForOwner(seconds(20)));
      Reconnect(system, 1 - worker);
      if (round == rounds)
        Reconnect(system, worker);
    }
    std::this_thread::sleep_for(seconds(1));
    RequireNotFailed(system, rounds);
    CheckHasRun(system);
  }
  SECTION("before the lease ends") {
    for (int round = 1; round <= 3; ++round) {
      const size_t worker = CutOffNextRun(system, round, milliseconds(300));
      std::this_thread::sleep_for(milliseconds(300));
      system.RestartProcess(0);
      REQUIRE(system.WaitForOwner(seconds(20)));
      REQUIRE(system.WaitForEndOfRun(kJobId, worker, seconds(5)));
      system.WaitForRun(kJobId, seconds(20));
      Reconnect(system, worker);
    }
    std::this_thread::sleep_for(seconds(1));
    RequireNotFailed(system, 3);
    CheckHasRun(system);
  }
}

}  // namespace
}  // namespace cowslipmast::platform
