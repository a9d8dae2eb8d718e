// A task that crashes each worker that starts it. Guards against it being
// started again without end, and against another job being given up for it.

#include <catch2/catch.hpp>
#include <map>
#include <string>

#include "tests/platform/test_system.h"

namespace cowslipmast::platform {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kMaxStarts = 5;
const char kDeadlyJob[] = "00000000000000f1";
const char kOtherJob[] = "00000000000000f2";

TestOptions ShortLeases() {
  TestOptions options;
  options.lease = seconds(2);
  return options;
}

// The platform drops the entry of a worker that is silent for so long.
constexpr auto kTimeUntilRemoval = seconds(3);

// A deadly job beside another one.
struct DeadlyJob {
  size_t workers = 4;
  TaskKind kind = TaskKind::kShort;
  milliseconds downtime{2000};  // of a worker, after each crash
};

// Keeps the workers' entries as the platform does until the deadly job has
// failed or `limit` has passed; false in that case.
bool WaitForFailure(TestSystem& system, size_t workers, seconds limit) {
  const auto end = std::chrono::steady_clock::now() + limit;
  std::map<size_t, std::chrono::steady_clock::time_point> down_since;
  while (std::chrono::steady_clock::now() < end) {
    if (system.StateOf(system.process(0), kDeadlyJob) == "failed")
      return true;
    const auto now = std::chrono::steady_clock::now();
    for (size_t i = 0; i < workers; ++i) {
      bool is_down = false;
      std::string id;
      system.WithWorker(i, [&is_down, &id](WorkerStandIn& w) {
        is_down = w.IsDown();
        id = w.id();
      });
      if (!is_down && down_since.erase(i) > 0)
        system.AnnounceWorker(i);
      if (is_down &&
          now - down_since.emplace(i, now).first->second >= kTimeUntilRemoval)
        system.PutRecord("keyed.servers", id, "");
    }
    std::this_thread::sleep_for(milliseconds(50));
  }
  return false;
}

// Runs the deadly job beside another one until it is given up.
void RunDeadlyJob(TestSystem& system, const DeadlyJob& job) {
  REQUIRE(system.WaitForOwner(seconds(10)));
  system.SetTaskDuration(seconds(60));
  for (size_t i = 0; i < job.workers; ++i) {
    system.WithWorker(i, [&job](WorkerStandIn& w) {
      w.SetDeadlyJob(kDeadlyJob, job.downtime);
    });
  }
  REQUIRE(system.SubmitOneTask(kOtherJob, TaskKind::kLongRunning) == 200);
  REQUIRE(system.WaitForRun(kOtherJob, seconds(5)));
  std::this_thread::sleep_for(seconds(1));
  REQUIRE(system.SubmitOneTask(kDeadlyJob, job.kind) == 200);
  CHECK(WaitForFailure(system, job.workers, seconds(40)));
  // A start that was still planned would come now.
  std::this_thread::sleep_for(seconds(3));
  RunObservations observations = system.Observations();
  CHECK(observations.starts[std::string(kDeadlyJob) + ".0.0.0"] <= kMaxStarts);
  CHECK(observations.violations.empty());
}

void CheckOtherJobRuns(TestSystem& system) {
  CHECK(system.StateOf(system.process(0), kOtherJob) == "active");
  CHECK(system.WaitForRun(kOtherJob, seconds(10)));
}

TEST_CASE("a task that crashes its workers is given up", "[deadly]") {
  DeadlyJob job;
  TestSystem system(static_cast<int>(job.workers), 1, ShortLeases());

  SECTION("if it is short") {
    RunDeadlyJob(system, job);
    CheckOtherJobRuns(system);
  }
  SECTION("if it is long-running") {
    job.kind = TaskKind::kLongRunning;
    RunDeadlyJob(system, job);
    CheckOtherJobRuns(system);
  }
}

// Its leases end long before the workers are back and prove their crashes.
TEST_CASE("a task that crashes its workers starts too often", "[deadly]") {
  DeadlyJob job;
  job.downtime = seconds(8);
  TestSystem system(static_cast<int>(job.workers), 1, ShortLeases());

  SECTION("if it is short") {
    RunDeadlyJob(system, job);
  }
  SECTION("if it is long-running") {
    job.kind = TaskKind::kLongRunning;
    RunDeadlyJob(system, job);
  }
}

// The two tasks start together each time, on the only worker that is there.
TEST_CASE("a job fails because of the task that shares its only worker",
          "[.known-red]") {
  DeadlyJob job;
  job.workers = 2;
  TestSystem system(static_cast<int>(job.workers), 1, ShortLeases());

  SECTION("a short one") {
    RunDeadlyJob(system, job);
    CheckOtherJobRuns(system);
  }
  SECTION("a long-running one") {
    job.kind = TaskKind::kLongRunning;
    RunDeadlyJob(system, job);
    CheckOtherJobRuns(system);
  }
}

}  // namespace
}  // namespace cowslipmast::platform
