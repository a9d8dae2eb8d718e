// A worker that is silent, or that leaves while the scheduler restarts. Guards
// against running work that is started elsewhere or given up although its
// worker was only silent, and against a worker that has left being used again.

#include <catch2/catch.hpp>

#include "tests/platform/test_system.h"

namespace cowslipmast::platform {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const char kJobId[] = "00000000000000d4";

TEST_CASE("a worker that is silent or leaves", "[silent]") {
  TestOptions options;
  options.lease = seconds(6);
  TestSystem system(2, 1, options);
  TestProcess& process = system.process(0);
  REQUIRE(system.WaitForOwner(seconds(10)));
  for (size_t i = 0; i < 2; ++i)
    system.WithWorker(i,
                      [](WorkerStandIn& w) { w.SetTaskDuration(seconds(3)); });

  SECTION("is silent for less than its lease and keeps its running work") {
    REQUIRE(system.Submit(process, kJobId, 4) == 200);
    REQUIRE(system.WaitForState(process, kJobId, "active", seconds(5)));
    std::this_thread::sleep_for(milliseconds(300));
    for (size_t i = 0; i < 2; ++i)
      system.WithWorker(i, [](WorkerStandIn& w) { w.SetUnresponsive(true); });
    std::this_thread::sleep_for(seconds(3));
    for (size_t i = 0; i < 2; ++i)
      system.WithWorker(i, [](WorkerStandIn& w) { w.SetUnresponsive(false); });
    CHECK(system.WaitForState(process, kJobId, "completed", seconds(15)));
    const RunObservations observations = system.Observations();
    CHECK(observations.violations.empty());
    for (const auto& [task, starts] : observations.starts)
      CHECK(starts == 1);
  }
  SECTION("has left and is not used after a restart of the scheduler") {
    // The worker still answers: only the list says that it has left.
    system.PutRecord("keyed.servers", "i-0", "");
    system.RestartProcess(0);
    REQUIRE(system.WaitForOwner(seconds(20)));
    REQUIRE(system.Submit(system.process(0), kJobId, 6) == 200);
    CHECK(system.WaitForState(system.process(0), kJobId, "completed",
                              seconds(15)));
    for (const auto& [task, workers] : system.Observations().workers)
      CHECK(workers.count("i-0") == 0);
  }
}

}  // namespace
}  // namespace cowslipmast::platform
