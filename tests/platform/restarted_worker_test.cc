// A worker that restarts without a sign, under its id and at its address, while
// its owner still believes in the instance before.

#include <catch2/catch.hpp>

#include "tests/platform/test_system.h"

namespace cowslipmast::platform {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const char kFirstJob[] = "00000000000000e1";
const char kSecondJob[] = "00000000000000e2";
const char kLongJob[] = "00000000000000e3";

void SetTaskDuration(TestSystem& system, milliseconds duration) {
  for (size_t i = 0; i < 2; ++i) {
    system.WithWorker(
        i, [duration](WorkerStandIn& w) { w.SetTaskDuration(duration); });
  }
}

// The first worker announces its new instance to the platform.
void Announce(TestSystem& system) {
  std::string entry;
  system.WithWorker(
      0, [&entry](WorkerStandIn& worker) { entry = worker.StoreEntry(); });
  system.PutRecord("keyed.servers", "i-0", entry);
}

// Restarts the first worker and returns before anybody can have noticed.
void Restart(TestSystem& system) {
  bool listens = false;
  system.WithWorker(
      0, [&listens](WorkerStandIn& worker) { listens = worker.Restart(); });
  REQUIRE(listens);
}

TEST_CASE("a worker that restarts under its id", "[restart]") {
  TestOptions options;
  options.lease = seconds(2);
  TestSystem system(2, 1, options);
  TestProcess& process = system.process(0);
  REQUIRE(system.WaitForOwner(seconds(10)));
  SetTaskDuration(system, milliseconds(200));
  REQUIRE(system.Submit(process, kFirstJob, 24) == 200);
  REQUIRE(system.WaitForState(process, kFirstJob, "completed", seconds(10)));
  // The ends are acknowledged.
  std::this_thread::sleep_for(seconds(2));

  SECTION("does not forget ends of its new instance, whose tasks would rerun") {
    Restart(system);
    REQUIRE(system.Submit(process, kSecondJob, 12) == 200);
    CHECK(system.WaitForState(process, kSecondJob, "completed", seconds(15)));
    CHECK(system.Observations().violations.empty());
  }
  SECTION("holds no lease that outlives the one that its owner knows") {
    Restart(system);
    REQUIRE(system.Submit(process, kSecondJob, 12) == 200);
    CHECK(system.WaitForState(process, kSecondJob, "completed", seconds(15)));
    Announce(system);
    std::this_thread::sleep_for(seconds(2));
    SetTaskDuration(system, seconds(6));
    REQUIRE(system.Submit(process, kLongJob, 12) == 200);
    REQUIRE(system.WaitForState(process, kLongJob, "active", seconds(5)));
    std::this_thread::sleep_for(milliseconds(300));
    system.WithWorker(0, [](WorkerStandIn& w) { w.SetUnresponsive(true); });
    std::this_thread::sleep_for(seconds(5));
    system.WithWorker(0, [](WorkerStandIn& w) { w.SetUnresponsive(false); });
    for (const std::string& violation : system.Observations().violations)
      CHECK(violation.find("runs on two workers") == std::string::npos);
  }
}

}  // namespace
}  // namespace cowslipmast::platform
