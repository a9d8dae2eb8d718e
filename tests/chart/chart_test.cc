#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include <string>

#include "cowslipmast/chart.h"
#include "src/daemon/chart_files.h"

namespace cowslipmast {
namespace {

const std::string kDoor = R"(name = "door"
initial = "closed"
final = ["removed"]
states = ["closed", "open", "removed"]
events = ["push", "remove"]
[ignores]
open = ["remove"]
[[transition]]
from = "closed"
event = "push"
to = "open"
action = "swing"
[[transition]]
from = "open"
event = "push"
to = "closed"
[[transition]]
from = "closed"
event = "remove"
to = "removed"
)";

std::string Replaced(std::string text,
                     const std::string& from,
                     const std::string& to) {
  const size_t position = text.find(from);
  REQUIRE(position != std::string::npos);
  return text.replace(position, from.size(), to);
}

ChartError ErrorOf(const std::string& text) {
  ChartError reason;
  REQUIRE_FALSE(ParseChart(text, reason));
  return reason;
}

TEST_CASE("transitions of a valid chart are looked up", "[chart]") {
  ChartError reason;
  const auto chart = ParseChart(kDoor, reason);
  REQUIRE(chart);
  const auto push = FindChartEvent(*chart, "push");
  const auto remove = FindChartEvent(*chart, "remove");
  REQUIRE(push);
  REQUIRE(remove);
  CHECK_FALSE(FindChartEvent(*chart, "pull"));

  SECTION("a handled event gives the next state and the action") {
    const auto step = FindTransition(*chart, chart->initial, *push);
    REQUIRE(step);
    CHECK(ChartStateName(*chart, step->to) == "open");
    CHECK(step->action == FindChartAction(*chart, "swing"));

    SECTION("and an ignored event gives nothing") {
      CHECK_FALSE(FindTransition(*chart, step->to, *remove));
    }
  }
  SECTION("a final state ignores every event") {
    const auto step = FindTransition(*chart, chart->initial, *remove);
    REQUIRE(step);
    CHECK(IsFinalState(*chart, step->to));
    CHECK_FALSE(FindTransition(*chart, step->to, *push));
  }
}

TEST_CASE("an invalid chart is refused with the position of the error",
          "[chart]") {
  // Without the check, the error would show only when the event arrives in
  // production.
  SECTION("an event that a state neither handles nor ignores") {
    const auto error = ErrorOf(Replaced(kDoor, "open = [\"remove\"]", ""));
    CHECK(error.kind == ChartErrorKind::kUnhandledEvent);
    CHECK(error.line == 4);
    CHECK(error.column == 21);
  }
  SECTION("a state that cannot be reached") {
    const auto error =
        ErrorOf(Replaced(kDoor, "to = \"open\"", "to = \"closed\""));
    CHECK(error.kind == ChartErrorKind::kUnreachableState);
    CHECK(error.found == "state open");
  }
  SECTION("a state without a path to a final one") {
    const std::string text =
        Replaced(kDoor, "from = \"open\"\nevent = \"push\"\nto = \"closed\"",
                 "from = \"open\"\nevent = \"push\"\nto = \"open\"");
    CHECK(ErrorOf(text).kind == ChartErrorKind::kNoPathToFinal);

    SECTION("unless the chart is endless") {
      ChartError reason;
      CHECK(ParseChart("endless = true\n" + text, reason));
    }
  }
  SECTION("an unknown state, event or key") {
    CHECK(ErrorOf(Replaced(kDoor, "to = \"open\"", "to = \"opem\"")).kind ==
          ChartErrorKind::kUnknownName);
    const auto error =
        ErrorOf(Replaced(kDoor, "event = \"push\"", "event = \"pull\""));
    CHECK(error.kind == ChartErrorKind::kUnknownName);
    CHECK(error.line == 10);
    CHECK(ErrorOf("finals = []\n" + kDoor).kind == ChartErrorKind::kUnknownKey);
  }
  SECTION("duplicates") {
    CHECK(ErrorOf(Replaced(kDoor, "\"open\", ", "\"open\", \"open\", ")).kind ==
          ChartErrorKind::kDuplicateName);
    CHECK(ErrorOf(kDoor + "[[transition]]\nfrom = \"open\"\nevent = \"push\"\n"
                          "to = \"open\"\n")
              .kind == ChartErrorKind::kDuplicateTransition);
    CHECK(ErrorOf(Replaced(kDoor, "open = [\"remove\"]", "open = [\"push\"]"))
              .kind == ChartErrorKind::kHandledAndIgnored);
  }
  SECTION("a transition out of a final state") {
    CHECK(ErrorOf(kDoor +
                  "[[transition]]\nfrom = \"removed\"\nevent = \"push\"\n"
                  "to = \"open\"\n")
              .kind == ChartErrorKind::kTransitionFromFinal);
  }
  SECTION("a text that is too long") {
    CHECK(ErrorOf(std::string(kMaxChartBytes + 1, '#')).kind ==
          ChartErrorKind::kTooLarge);
  }
}

TEST_CASE("the project's charts pass the check", "[chart]") {
  ChartFileError reason;
  const auto charts = LoadCharts(COWSLIPMAST_CHARTS_DIR, reason);
  INFO(DescribeChartFileError(reason));
  REQUIRE(charts);
  CHECK(charts->contains("target"));
  CHECK(charts->contains("configuration"));

  SECTION("and SIGTERM makes a process drain or end in every state") {
    const StateChart& process = charts->at("process");
    const auto sigterm = FindChartEvent(process, "sigterm");
    const auto draining = FindChartState(process, "draining");
    REQUIRE(sigterm);
    REQUIRE(draining);
    for (size_t index = 0; index < process.states.size(); ++index) {
      const auto state = static_cast<ChartState>(index);
      const auto step = FindTransition(process, state, *sigterm);
      const ChartState after = step ? step->to : state;
      CHECK((IsFinalState(process, after) || after == *draining));
    }
  }
}

TEST_CASE("an error in a chart file names the file", "[chart]") {
  ChartFileError reason;
  CHECK_FALSE(LoadCharts("/nonexistent", reason));
  CHECK(reason.kind == ChartFileErrorKind::kDirectoryUnreadable);
  // Configurations are not charts, so the loader must name the file.
  CHECK_FALSE(LoadCharts(COWSLIPMAST_EXAMPLES_DIR, reason));
  CHECK(reason.kind == ChartFileErrorKind::kInvalidChart);
  CHECK(reason.path.find("kapisanan.toml") != std::string::npos);
}

TEST_CASE("the chart parser handles any text", "[chart]") {
  CHECK(rc::check("any bytes", [](const std::string& text) {
    ChartError reason;
    ParseChart(text, reason);
  }));
  CHECK(rc::check("a valid text with bytes replaced", [] {
    std::string text = kDoor;
    const auto edits =
        *rc::gen::container<std::vector<std::pair<size_t, char>>>(
            rc::gen::pair(rc::gen::inRange<size_t>(0, text.size()),
                          rc::gen::arbitrary<char>()));
    for (const auto& [position, byte] : edits)
      text[position] = byte;
    ChartError reason;
    const auto chart = ParseChart(text, reason);
    if (!chart)
      RC_ASSERT(reason.line > 0U);
  }));
}

}  // namespace
}  // namespace cowslipmast
