#include <catch2/catch.hpp>

#include <string>

#include "tests/cli/cli_fixture.h"

namespace cowslipmast {
namespace {

std::string Replaced(std::string text,
                     const std::string& from,
                     const std::string& to) {
  return text.replace(text.find(from), from.size(), to);
}

TEST_CASE("a data centre is drained and returned", "[cli]") {
  CliFixture fixture;
  REQUIRE(fixture.Publish(kConfigText).code == ExitCode::kOk);
  const std::string drained = Replaced(kConfigText, "\"in\"", "\"out\"");

  SECTION("a drain changes nothing else in the text") {
    REQUIRE(fixture.Run({"dc", "drain", "cebu"}).code == ExitCode::kOk);
    CHECK(fixture.Run({"config", "show"}).text == drained);

    SECTION("and a second drain publishes nothing") {
      const auto again = fixture.Run({"dc", "drain", "cebu"});
      CHECK(again.code == ExitCode::kOk);
      CHECK(again.data["changed"] == false);
      CHECK(fixture.log.appends == 2);
    }
    SECTION("and the return restores the original text") {
      CHECK(fixture.Run({"dc", "return", "cebu"}).code == ExitCode::kOk);
      CHECK(fixture.Run({"config", "show"}).text == kConfigText);
    }
  }
  SECTION("a drain keeps the changes of a publish that comes first") {
    fixture.log.before_append = [&] {
      fixture.log.Add(
          ConfigPublished{ConfigVersion(1), ConfigTextWithSlots(6), "ben"});
    };
    CHECK(fixture.Run({"dc", "drain", "cebu"}).data["version"] == 3);
    CHECK(fixture.Run({"config", "show"}).text ==
          Replaced(drained, "slots = 8", "slots = 6"));
  }
  SECTION("two concurrent drains publish one version") {
    const auto results =
        fixture.RunAll({{"dc", "drain", "cebu"}, {"dc", "drain", "cebu"}});
    CHECK(results[0].code == ExitCode::kOk);
    CHECK(results[1].code == ExitCode::kOk);
    CHECK(results[0].data["version"] == 2);
    CHECK(results[1].data["version"] == 2);
  }
  SECTION("a drain of an unknown data centre fails with not found") {
    CHECK(fixture.Run({"dc", "drain", "manila"}).code == ExitCode::kNotFound);
    CHECK(fixture.log.appends == 1);
  }
}

TEST_CASE("the state of a VM is set once, also after a lost reply", "[cli]") {
  CliFixture fixture;
  CHECK(fixture.Run({"vm", "repair", "w1"}).data["changed"] == false);
  CHECK(fixture.log.appends == 0);
  // The record took effect although its reply was lost, so the command must
  // not report a failure.
  fixture.log.faults = {AppendFault::kLoseReply};
  CHECK(fixture.Run({"vm", "quarantine", "w1"}).code == ExitCode::kOk);
  CHECK(fixture.Run({"vm", "quarantine", "w1"}).data["changed"] == false);
  CHECK(fixture.Run({"vm", "drain", "w1"}).data["state"] == "draining");
  CHECK(fixture.Run({"vm", "repair", "w1"}).data["changed"] == true);
  CHECK(fixture.log.appends == 3);
}

}  // namespace
}  // namespace cowslipmast
