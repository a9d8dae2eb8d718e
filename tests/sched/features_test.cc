// A misspelt feature must not be ignored silently.

#include <catch2/catch.hpp>

#include "cowslipmast/sched/features.h"

namespace cowslipmast::sched {

TEST_CASE("a misspelt feature is ignored") {
  std::string unknown;

  SECTION("without names all features are off") {
    CHECK(ParseFeatures({}, unknown) == SchedulerFeatures{});
  }
  SECTION("each name switches one feature on") {
    const auto features = ParseFeatures({"overload_order"}, unknown);
    REQUIRE(features);
    CHECK(*features == SchedulerFeatures{.overload_order = true});
  }
  SECTION("an unknown name is told") {
    CHECK(!ParseFeatures({"balance", "look-ahead"}, unknown));
    CHECK(unknown == "look-ahead");
  }
}

}  // namespace cowslipmast::sched
