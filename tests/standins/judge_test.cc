#include <catch2/catch.hpp>

#include "standins/worker/judge.h"

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

std::vector<ViolationKind> Kinds(const Judge& judge) {
  std::vector<ViolationKind> kinds;
  for (const Violation& violation : judge.violations())
    kinds.push_back(violation.kind);
  return kinds;
}

using KindList = std::vector<ViolationKind>;

TEST_CASE("the judge of the workers", "[standins]") {
  Judge judge(kDrainLimit);
  judge.OnStart(Start("a", 1));
  REQUIRE(Kinds(judge).empty());

  SECTION("reports a task in two places at once") {
    judge.OnStart(Start("b", 2));
    CHECK(Kinds(judge) == KindList{ViolationKind::kTwoPlaces});
    CHECK(judge.Stats()["violations"][0]["kind"] == "two_places");
  }
  SECTION("reports an attempt that started twice") {
    judge.OnEnd("a", Run(1), TaskResult::kLost);
    judge.OnStart(Start("b", 1));
    CHECK(Kinds(judge) == KindList{ViolationKind::kAttemptStartedTwice});
  }
  SECTION("accepts a new attempt after a lost lease or a failure") {
    judge.OnEnd("a", Run(1), TaskResult::kLost);
    judge.OnStart(Start("b", 2));
    judge.OnEnd("b", Run(2), TaskResult::kFailed);
    judge.OnStart(Start("c", 3));
    CHECK(Kinds(judge).empty());
    CHECK(judge.Stats()["lost_leases"] == 1);
    CHECK(judge.Stats()["failed"] == 1);
  }
  SECTION("reports a start of a task that was done") {
    judge.OnEnd("a", Run(1), TaskResult::kDone);
    judge.OnStart(Start("b", 2));
    CHECK(Kinds(judge) == KindList{ViolationKind::kStartedAfterDone});

    SECTION("and counts how often it was done") {
      judge.OnEnd("b", Run(2), TaskResult::kDone);
      CHECK(judge.Stats()["tasks_done"][0]["count"] == 2);
    }
  }

  SECTION("accepts an evicted task that resumes") {
    judge.OnEnd("a", Run(1), TaskResult::kEvicted);
    judge.OnStart(Start("b", 2));
    CHECK(Kinds(judge).empty());

    SECTION("reports that it resumed twice, here or elsewhere") {
      judge.OnStart(Start("c", 3));
      CHECK(Kinds(judge) ==
            KindList{ViolationKind::kTwoPlaces, ViolationKind::kResumedTwice});
    }
    SECTION("reports that it resumed again after it was done") {
      judge.OnEnd("b", Run(2), TaskResult::kDone);
      judge.OnStart(Start("c", 3));
      CHECK(Kinds(judge) == KindList{ViolationKind::kStartedAfterDone,
                                     ViolationKind::kResumedTwice});
    }
    SECTION("accepts another resumption after the first was lost") {
      judge.OnEnd("b", Run(2), TaskResult::kLost);
      judge.OnStart(Start("c", 3));
      CHECK(Kinds(judge).empty());
    }
    SECTION("accepts a second eviction and resumption") {
      judge.OnEnd("b", Run(2), TaskResult::kEvicted);
      judge.OnStart(Start("c", 3));
      CHECK(Kinds(judge).empty());
      CHECK(judge.Stats()["evictions"] == 2);
    }
  }
}

TEST_CASE("the judge checks where and when a task starts", "[standins]") {
  Judge judge(kDrainLimit);

  SECTION("reports more work than a worker has room for") {
    StartEvent event = Start("a", 1);
    event.capacity.cpu = MilliCores(1000);
    event.used.cpu = MilliCores(1001);
    judge.OnStart(event);
    CHECK(Kinds(judge) == KindList{ViolationKind::kOverCapacity});
  }
  SECTION("reports a start after its not_after") {
    StartEvent event = Start("a", 1);
    event.late = true;
    judge.OnStart(event);
    CHECK(Kinds(judge) == KindList{ViolationKind::kStartedTooLate});
  }
  SECTION("accepts a start shortly after a drain") {
    judge.OnDataCentre(kCebu, true, kNow - kDrainLimit);
    judge.OnStart(Start("a", 1));
    CHECK(Kinds(judge).empty());
  }
  SECTION("reports a start long after a drain") {
    judge.OnDataCentre(kCebu, true, kNow - kDrainLimit - Duration(1));
    // A repeated notice must not move the time of the drain.
    judge.OnDataCentre(kCebu, true, kNow);
    judge.OnStart(Start("a", 1));
    CHECK(Kinds(judge) == KindList{ViolationKind::kStartedInDrainedCentre});
  }
  SECTION("accepts a start after the data centre returned") {
    judge.OnDataCentre(kCebu, true, kNow - kDrainLimit * 2);
    judge.OnDataCentre(kCebu, false, kNow - Duration(1));
    judge.OnStart(Start("a", 1));
    CHECK(Kinds(judge).empty());
  }
}

}  // namespace
}  // namespace cowslipmast::standins
