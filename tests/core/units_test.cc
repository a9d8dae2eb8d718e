#include <catch2/catch.hpp>

#include "cowslipmast/units.h"

namespace cowslipmast {
namespace {

TEST_CASE("a task fits only if every resource fits", "[core]") {
  // Guards against comparing only some resources, which would overcommit.
  const Resources available{MilliCores(1000), Mebibytes(100), Accelerators(1)};
  CHECK(Fits(available, available));
  SECTION("each resource in turn is too large") {
    CHECK_FALSE(
        Fits({MilliCores(1001), Mebibytes(1), Accelerators(0)}, available));
    CHECK_FALSE(
        Fits({MilliCores(1), Mebibytes(101), Accelerators(0)}, available));
    CHECK_FALSE(
        Fits({MilliCores(1), Mebibytes(1), Accelerators(2)}, available));
  }
}

}  // namespace
}  // namespace cowslipmast
