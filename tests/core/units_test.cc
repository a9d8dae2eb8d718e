#include <catch2/catch.hpp>

#include "cowslipmast/units.h"

namespace cowslipmast {
namespace {

TEST_CASE("a task fits only if every resource does", "[core]") {
  // Guards against a comparison in one dimension, which would overcommit.
  const Resources room{MilliCores(1000), Mebibytes(100), Accelerators(1)};
  CHECK(Fits(room, room));
  SECTION("one resource too large in turn") {
    CHECK_FALSE(Fits({MilliCores(1001), Mebibytes(1), Accelerators(0)}, room));
    CHECK_FALSE(Fits({MilliCores(1), Mebibytes(101), Accelerators(0)}, room));
    CHECK_FALSE(Fits({MilliCores(1), Mebibytes(1), Accelerators(2)}, room));
  }
}

}  // namespace
}  // namespace cowslipmast
