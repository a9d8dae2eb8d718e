#include <catch2/catch.hpp>

#include <string>

#include "cowslipmast/fold.h"
#include "tests/cli/cli_fixture.h"

namespace cowslipmast {
namespace {

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

TEST_CASE("a configuration is published, shown and listed", "[cli]") {
  CliFixture fixture;
  CHECK(fixture.Run({"config", "show"}).code == ExitCode::kNotFound);
  const auto first = fixture.Publish(kConfigText);
  REQUIRE(first.code == ExitCode::kOk);
  CHECK(first.data["version"] == 1);

  SECTION("publishing the same text again appends nothing") {
    CHECK(fixture.Publish(kConfigText).code == ExitCode::kOk);
    CHECK(fixture.log.appends == 1);
  }
  SECTION("a second version lists the changed entries") {
    CHECK(fixture.Publish(ConfigTextWithSlots(6)).text ==
          "published version 2, which replaces version 1\n"
          "  changed service \"desk\": slots 8 -> 6\n");
    const auto history = fixture.Run({"config", "history"});
    CHECK(history.data["versions"].size() == 2);
    CHECK(history.data["versions"][1]["author"] == "ana");
    CHECK(fixture.Run({"config", "show"}).text == ConfigTextWithSlots(6));
    fixture.options.version = ConfigVersion(1);
    CHECK(fixture.Run({"config", "show"}).text == kConfigText);

    SECTION("and a publish with an old base is refused without an append") {
      fixture.options.version.reset();
      fixture.options.base = ConfigVersion(1);
      const auto late = fixture.Publish(ConfigTextWithSlots(4));
      CHECK(late.code == ExitCode::kConflict);
      CHECK(Contains(late.text, "-slots = 6\n+slots = 4\n"));
      CHECK(fixture.log.appends == 2);
    }
  }
  SECTION("an invalid text is refused with the position of the error") {
    const auto result = fixture.Publish(ConfigTextWithSlots(0));
    CHECK(result.code == ExitCode::kInvalidInput);
    CHECK(result.data["errors"][0]["line"] == 10);
    CHECK(fixture.log.appends == 1);
  }
}

TEST_CASE("of two concurrent publishes only one is accepted", "[cli]") {
  // Without the check of the base version, the second publish would silently
  // revert the first.
  CliFixture fixture;
  REQUIRE(fixture.Publish(kConfigText).code == ExitCode::kOk);

  SECTION("when another publish comes between reading and appending") {
    fixture.log.before_append = [&] {
      fixture.log.Add(
          ConfigPublished{ConfigVersion(1), ConfigTextWithSlots(6), "ben"});
    };
    const auto result = fixture.Publish(ConfigTextWithSlots(4));
    CHECK(result.code == ExitCode::kConflict);
    CHECK(result.data["author"] == "ben");
    CHECK(Contains(result.text, "-slots = 6\n+slots = 4\n"));
  }
  SECTION("when both commands run at the same time") {
    const auto results = fixture.RunAll(
        {{"config", "publish",
          CliFixture::WriteFile("a.tmp", ConfigTextWithSlots(6))},
         {"config", "publish",
          CliFixture::WriteFile("b.tmp", ConfigTextWithSlots(4))}});
    const bool first_won = results[0].code == ExitCode::kOk;
    CHECK(results[first_won ? 0 : 1].code == ExitCode::kOk);
    CHECK(results[first_won ? 1 : 0].code == ExitCode::kConflict);
    CHECK(fixture.Run({"config", "show"}).text ==
          ConfigTextWithSlots(first_won ? 6 : 4));
  }
}

TEST_CASE("a lost reply to a publish is resolved by reading the log", "[cli]") {
  CliFixture fixture;
  SECTION("when the append took effect") {
    fixture.log.faults = {AppendFault::kLoseReply};
    CHECK(fixture.Publish(kConfigText).code == ExitCode::kOk);
    CHECK(fixture.log.appends == 1);
  }
  SECTION("when the append was lost: it is repeated") {
    fixture.log.faults = {AppendFault::kDropRequest};
    CHECK(fixture.Publish(kConfigText).code == ExitCode::kOk);
    CHECK(fixture.log.appends == 1);
  }
  SECTION("when the append was lost and another publish came first") {
    fixture.log.faults = {AppendFault::kDropRequest};
    fixture.log.before_append = [&] {
      fixture.log.Add(
          ConfigPublished{ConfigVersion(0), ConfigTextWithSlots(6), "ben"});
    };
    CHECK(fixture.Publish(kConfigText).code == ExitCode::kConflict);
    CHECK(fixture.log.appends == 0);
  }
  SECTION("when the store stays unreachable: the outcome is unknown") {
    fixture.log.faults = {AppendFault::kLoseReply};
    fixture.log.unreachable_after_append = true;
    fixture.options.timeout = std::chrono::milliseconds(400);
    const auto result = fixture.Publish(kConfigText);
    CHECK(result.code == ExitCode::kUnknownOutcome);
    CHECK(Contains(result.text, "it is not known whether the publish took"));

    SECTION("and publishing the text again finds it accepted") {
      fixture.log.unreachable = fixture.log.unreachable_after_append = false;
      CHECK(fixture.Publish(kConfigText).code == ExitCode::kOk);
      CHECK(fixture.log.appends == 1);
    }
  }
}

TEST_CASE("a publish to an unreachable store changes nothing", "[cli]") {
  CliFixture fixture;
  fixture.options.timeout = std::chrono::milliseconds(300);
  SECTION("when the store closes connections") {
    fixture.log.unreachable = true;
  }
  SECTION("when nothing listens") {
    fixture.log.server.reset();
  }
  const auto result = fixture.Publish(kConfigText);
  CHECK(result.code == ExitCode::kUnavailable);
  CHECK(Contains(result.text, "nothing was changed"));
  CHECK(fixture.log.appends == 0);
}

TEST_CASE("a log whose first entries have expired", "[cli]") {
  CliFixture fixture;
  REQUIRE(fixture.Publish(kConfigText).code == ExitCode::kOk);
  const auto fold = ControlFold::Make();
  const auto slice = fixture.log.store.Read("control", 0, 1);
  fold->Apply(LogOffset(0), slice.entries[0]);
  fixture.log.Add(Snapshot{LogOffset(0), fold->EncodeSnapshot()});
  fixture.log.Add(
      ConfigPublished{ConfigVersion(1), ConfigTextWithSlots(6), "ben"});

  SECTION("is read from its snapshot") {
    fixture.log.store.Retain(2);
    fixture.log.store.Retain(1000);
    CHECK(fixture.Run({"config", "show"}).text == ConfigTextWithSlots(6));
    CHECK(fixture.Publish(ConfigTextWithSlots(4)).data["version"] == 3);
    CHECK(fixture.Run({"config", "history"}).data["versions"].size() == 2);
  }
  SECTION("is not used if it has no snapshot") {
    fixture.log.store.Retain(1);
    CHECK(fixture.Publish(ConfigTextWithSlots(4)).code ==
          ExitCode::kUnavailable);
    CHECK(fixture.log.appends == 1);
  }
}

}  // namespace
}  // namespace cowslipmast
