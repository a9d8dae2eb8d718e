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

std::vector<WorkerViolationKind> Kinds(const InvariantChecker& checker) {
  std::vector<WorkerViolationKind> kinds;
  for (const WorkerViolation& violation : checker.violations())
    kinds.push_back(violation.kind);
  return kinds;
}

using KindList = std::vector<WorkerViolationKind>;

TEST_CASE("the judge of the workers", "[standins]") {
  InvariantChecker checker(kDrainLimit);
  checker.OnStart(Start("a", 1));
  REQUIRE(Kinds(checker).empty());

  SECTION("reports a task in two places at once") {
    checker.OnStart(Start("b", 2));
    CHECK(Kinds(checker) == KindList{WorkerViolationKind::kConcurrentRuns});
    CHECK(checker.Stats()["violations"][0]["kind"] == "two_places");
  }
  SECTION("reports an attempt that started twice") {
    checker.OnEnd("a", Run(1), LeaseOutcome::kLost);
    checker.OnStart(Start("b", 1));
    CHECK(Kinds(checker) ==
          KindList{WorkerViolationKind::kAttemptStartedTwice});
  }
  SECTION("accepts a new attempt after a lost lease or a failure") {
    checker.OnEnd("a", Run(1), LeaseOutcome::kLost);
    checker.OnStart(Start("b", 2));
    checker.OnEnd("b", Run(2), LeaseOutcome::kFailed);
    checker.OnStart(Start("c", 3));
    CHECK(Kinds(checker).empty());
    CHECK(checker.Stats()["lost_leases"] == 1);
    CHECK(checker.Stats()["failed"] == 1);
  }
  SECTION("reports a start of a task that was done") {
    checker.OnEnd("a", Run(1), LeaseOutcome::kDone);
    checker.OnStart(Start("b", 2));
    CHECK(Kinds(checker) == KindList{WorkerViolationKind::kStartedAfterDone});

    SECTION("and counts how often it was done") {
      checker.OnEnd("b", Run(2), LeaseOutcome::kDone);
      CHECK(checker.Stats()["tasks_done"][0]["count"] == 2);
    }
  }

  SECTION("accepts an evicted task that resumes") {
    checker.OnEnd("a", Run(1), LeaseOutcome::kEvicted);
    checker.OnStart(Start("b", 2));
    CHECK(Kinds(checker).empty());

    SECTION("reports that it resumed twice, here or elsewhere") {
      checker.OnStart(Start("c", 3));
      CHECK(Kinds(checker) == KindList{WorkerViolationKind::kConcurrentRuns,
                                       WorkerViolationKind::kResumedTwice});
    }
    SECTION("reports that it resumed again after it was done") {
      checker.OnEnd("b", Run(2), LeaseOutcome::kDone);
      checker.OnStart(Start("c", 3));
      CHECK(Kinds(checker) == KindList{WorkerViolationKind::kStartedAfterDone,
                                       WorkerViolationKind::kResumedTwice});
    }
    SECTION("accepts another resumption after the first was lost") {
      checker.OnEnd("b", Run(2), LeaseOutcome::kLost);
      checker.OnStart(Start("c", 3));
      CHECK(Kinds(checker).empty());
    }
    SECTION("accepts a second eviction and resumption") {
      checker.OnEnd("b", Run(2), LeaseOutcome::kEvicted);
      checker.OnStart(Start("c", 3));
      CHECK(Kinds(checker).empty());
      CHECK(checker.Stats()["evictions"] == 2);
    }
  }
}

TEST_CASE("the judge checks where and when a task starts", "[standins]") {
  InvariantChecker checker(kDrainLimit);

  SECTION("reports more work than a worker has room for") {
    StartEvent event = Start("a", 1);
    event.capacity.cpu = MilliCores(1000);
    event.used.cpu = MilliCores(1001);
    checker.OnStart(event);
    CHECK(Kinds(checker) == KindList{WorkerViolationKind::kOverCapacity});
  }
  SECTION("reports a start after its not_after") {
    StartEvent event = Start("a", 1);
    event.late = true;
    checker.OnStart(event);
    CHECK(Kinds(checker) == KindList{WorkerViolationKind::kStartedTooLate});
  }
  SECTION("accepts a start shortly after a drain") {
    checker.SetDataCentreDrained(kCebu, true, kNow - kDrainLimit);
    checker.OnStart(Start("a", 1));
    CHECK(Kinds(checker).empty());
  }
  SECTION("reports a start long after a drain") {
    checker.SetDataCentreDrained(kCebu, true, kNow - kDrainLimit - Duration(1));
    // A repeated notice must not move the time of the drain.
    checker.SetDataCentreDrained(kCebu, true, kNow);
    checker.OnStart(Start("a", 1));
    CHECK(Kinds(checker) ==
          KindList{WorkerViolationKind::kStartedInDrainedDataCentre});
  }
  SECTION("accepts a start after the data centre returned") {
    checker.SetDataCentreDrained(kCebu, true, kNow - kDrainLimit * 2);
    checker.SetDataCentreDrained(kCebu, false, kNow - Duration(1));
    checker.OnStart(Start("a", 1));
    CHECK(Kinds(checker).empty());
  }
}

}  // namespace
}  // namespace cowslipmast::standins
