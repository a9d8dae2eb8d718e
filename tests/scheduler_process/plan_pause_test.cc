// Guards against capacity that is unused while a task waits for it, because a
// plan pauses, and against plans without a pause where nothing is gained.

#include "src/scheduler_process/plan_pause.h"

#include <catch2/catch.hpp>

namespace cowslipmast::sched {
namespace {

using std::chrono::milliseconds;

TEST_CASE("the pause after a plan", "[scheduler-process]") {
  SECTION("lets events accumulate") {
    CHECK(PauseAfterPlan(milliseconds(8), false) == milliseconds(15));
  }
  SECTION("ends at once for capacity that a task waits for") {
    CHECK(PauseAfterPlan(milliseconds(8), true) == milliseconds(1));
  }
  SECTION("is as long as a long plan, whatever waits") {
    CHECK(PauseAfterPlan(milliseconds(150), false) == milliseconds(150));
    CHECK(PauseAfterPlan(milliseconds(150), true) == milliseconds(150));
  }
  SECTION("is limited") {
    CHECK(PauseAfterPlan(milliseconds(2000), true) == milliseconds(300));
  }
}

}  // namespace
}  // namespace cowslipmast::sched
