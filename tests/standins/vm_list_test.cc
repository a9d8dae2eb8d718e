#include <catch2/catch.hpp>

#include "standins/common/vm_rows.h"
#include "standins/vm_list/vm_list.h"

namespace cowslipmast::standins {
namespace {

constexpr TimePoint kStart{std::chrono::seconds(1)};
constexpr Duration kLag = std::chrono::milliseconds(500);

TEST_CASE("the VM list stand-in", "[standins]") {
  const Json rows = {{{"id", "a"}, {"kind", "entry"}},
                     {{"id", "b"}, {"kind", "target"}, {"state", "live"}}};
  VmList list(rows, kLag);

  SECTION("shows a change only after its lag") {
    REQUIRE(list.SetState("b", "leaving", kStart));
    CHECK(list.VisibleRows(kStart + kLag / 2)[1]["state"] == "live");
    CHECK(list.VisibleRows(kStart + kLag)[1]["state"] == "leaving");

    SECTION("and omits a VM once it is gone") {
      REQUIRE(list.SetState("b", "gone", kStart + kLag));
      CHECK(list.VisibleRows(kStart + kLag * 2).size() == 1);
      REQUIRE(list.SetState("b", "live", kStart + kLag * 2));
      CHECK(list.VisibleRows(kStart + kLag * 3).size() == 2);
    }
  }
  SECTION("refuses an unknown VM or state") {
    // Otherwise a scenario with a misspelt name would change nothing and pass.
    CHECK_FALSE(list.SetState("c", "gone", kStart));
    CHECK_FALSE(list.SetState("a", "dead", kStart));
  }
}

TEST_CASE("rows of a VM list file", "[standins]") {
  VmRowsError reason;
  SECTION("are read by kind") {
    const Json rows = {{{"id", "w"},
                        {"kind", "worker"},
                        {"address", "127.0.0.1:80"},
                        {"base_path", "/workers/w"},
                        {"cores", 64},
                        {"memory_mib", 1024}},
                       {{"id", "e"}, {"kind", "entry"}}};
    const auto workers = ParseVmRows(rows, VmKind::kWorker, reason);
    REQUIRE(workers);
    REQUIRE(workers->size() == 1);
    CHECK(workers->front().resources.cpu.count() == 64000);
    CHECK(workers->front().endpoint == Endpoint{"127.0.0.1", 80});
    CHECK(workers->front().base_path == "/workers/w");
  }
  SECTION("without an address are refused") {
    const Json rows = {{{"id", "w"}, {"kind", "worker"}}};
    CHECK_FALSE(ParseVmRows(rows, VmKind::kWorker, reason));
    CHECK(reason.kind == VmRowsErrorKind::kBadRow);
  }
}

}  // namespace
}  // namespace cowslipmast::standins
