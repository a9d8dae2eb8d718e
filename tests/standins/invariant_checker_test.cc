#include <catch2/catch.hpp>

#include "standins/worker/invariant_checker.h"

namespace cowslipmast::standins {
namespace {

constexpr TimePoint kNow{std::chrono::seconds(100)};
constexpr Duration kDrainLimit = std::chrono::seconds(3);
const DataCentreId kCebu("cebu");

TaskRun Run(uint64_t attempt) {
  return {{JobId("job"), 0}, Attempt(attempt)};
}

StartEvent Start(const std::string& worker, uint64_t attempt) {
  return {.worker = worker,
          .data_centre = kCebu,
          .run = Run(attempt),
          .now = kNow,
          .late = false,
          .used = {},
          .capacity = {}};
}

std::vector<WorkerViolationKind> ViolationKinds(
    const InvariantChecker& checker) {
  std::vector<WorkerViolationKind> kinds;
  for (const WorkerViolation& violation : checker.violations())
    kinds.push_back(violation.kind);
  return kinds;
}

using ViolationKindList = std::vector<WorkerViolationKind>;

TEST_CASE("the invariant checker follows the runs of a task", "[standins]") {
  InvariantChecker checker(kDrainLimit);
  checker.OnStart(Start("a", 1));
  REQUIRE(ViolationKinds(checker).empty());

  SECTION("reports a task that runs on two workers at the same time") {
    checker.OnStart(Start("b", 2));
    CHECK(ViolationKinds(checker) ==
          ViolationKindList{WorkerViolationKind::kConcurrentRuns});
    CHECK(checker.Stats()["violations"][0]["kind"] == "two_places");
  }
  SECTION("reports an attempt that started twice") {
    checker.OnEnd("a", Run(1), LeaseOutcome::kLost);
    checker.OnStart(Start("b", 1));
    CHECK(ViolationKinds(checker) ==
          ViolationKindList{WorkerViolationKind::kAttemptStartedTwice});
  }
  SECTION("accepts a new attempt after a lost lease or a failure") {
    checker.OnEnd("a", Run(1), LeaseOutcome::kLost);
    checker.OnStart(Start("b", 2));
    checker.OnEnd("b", Run(2), LeaseOutcome::kFailed);
    checker.OnStart(Start("c", 3));
    CHECK(ViolationKinds(checker).empty());
    CHECK(checker.Stats()["lost_leases"] == 1);
    CHECK(checker.Stats()["failed"] == 1);
  }
  SECTION("reports a start of a task that is already done") {
    checker.OnEnd("a", Run(1), LeaseOutcome::kDone);
    checker.OnStart(Start("b", 2));
    CHECK(ViolationKinds(checker) ==
          ViolationKindList{WorkerViolationKind::kStartedAfterDone});

    SECTION("and counts how often the task was done") {
      checker.OnEnd("b", Run(2), LeaseOutcome::kDone);
      CHECK(checker.Stats()["tasks_done"][0]["count"] == 2);
    }
  }

  SECTION("accepts an evicted task that resumes once") {
    checker.OnEnd("a", Run(1), LeaseOutcome::kEvicted);
    checker.OnStart(Start("b", 2));
    CHECK(ViolationKinds(checker).empty());

    SECTION("reports a second resumption while the first one runs") {
      checker.OnStart(Start("c", 3));
      CHECK(ViolationKinds(checker) ==
            ViolationKindList{WorkerViolationKind::kConcurrentRuns,
                              WorkerViolationKind::kResumedTwice});
    }
    SECTION("reports a second resumption after the task was done") {
      checker.OnEnd("b", Run(2), LeaseOutcome::kDone);
      checker.OnStart(Start("c", 3));
      CHECK(ViolationKinds(checker) ==
            ViolationKindList{WorkerViolationKind::kStartedAfterDone,
                              WorkerViolationKind::kResumedTwice});
    }
    SECTION("accepts another resumption after the first was lost") {
      checker.OnEnd("b", Run(2), LeaseOutcome::kLost);
      checker.OnStart(Start("c", 3));
      CHECK(ViolationKinds(checker).empty());
    }
    SECTION("accepts a second eviction and resumption") {
      checker.OnEnd("b", Run(2), LeaseOutcome::kEvicted);
      checker.OnStart(Start("c", 3));
      CHECK(ViolationKinds(checker).empty());
      CHECK(checker.Stats()["evictions"] == 2);
    }
  }
}

TEST_CASE("the invariant checker checks where and when a task starts",
          "[standins]") {
  InvariantChecker checker(kDrainLimit);

  SECTION("reports tasks that exceed the resources of a worker") {
    StartEvent event = Start("a", 1);
    event.capacity.cpu = MilliCores(1000);
    event.used.cpu = MilliCores(1001);
    checker.OnStart(event);
    CHECK(ViolationKinds(checker) ==
          ViolationKindList{WorkerViolationKind::kOverCapacity});
  }
  SECTION("reports a start after its not_after") {
    StartEvent event = Start("a", 1);
    event.late = true;
    checker.OnStart(event);
    CHECK(ViolationKinds(checker) ==
          ViolationKindList{WorkerViolationKind::kStartedTooLate});
  }
  SECTION("accepts a start shortly after a drain") {
    checker.SetDataCentreDrained(kCebu, true, kNow - kDrainLimit);
    checker.OnStart(Start("a", 1));
    CHECK(ViolationKinds(checker).empty());
  }
  SECTION("reports a start long after a drain") {
    checker.SetDataCentreDrained(kCebu, true, kNow - kDrainLimit - Duration(1));
    // A repeated notice must not change the time of the drain.
    checker.SetDataCentreDrained(kCebu, true, kNow);
    checker.OnStart(Start("a", 1));
    CHECK(ViolationKinds(checker) ==
          ViolationKindList{WorkerViolationKind::kStartedInDrainedDataCentre});
  }
  SECTION("accepts a start after the data centre returned to service") {
    checker.SetDataCentreDrained(kCebu, true, kNow - kDrainLimit * 2);
    checker.SetDataCentreDrained(kCebu, false, kNow - Duration(1));
    checker.OnStart(Start("a", 1));
    CHECK(ViolationKinds(checker).empty());
  }
}

}  // namespace
}  // namespace cowslipmast::standins
