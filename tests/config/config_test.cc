#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <string>
#include <utility>
#include <vector>

#include "cowslipmast/config.h"
#include "cowslipmast/config_diff.h"

namespace cowslipmast {
namespace {

const std::string kText = R"(# shops
[[region]]
id = "luzon"
[[data_centre]]
id = "bulacan"   # first
region = "luzon"
state = "in"     # since March
[[data_centre]]
id = "cebu"
region = "luzon"
state = 'out'
[[service]]
id = "till"
deadline_ms = 2000
slots = 8
[[service]]
id = "desk"
depends_on = ["till"]
deadline_ms = 1000
slots = 4
[[worker_class]]
id = "standard"
cores = 64
memory_mib = 256000
rack_size = 8
[[team]]
id = "quotes"
cores = 100
memory_mib = 4000
)";

std::string Replaced(std::string text,
                     const std::string& from,
                     const std::string& to) {
  const size_t position = text.find(from);
  REQUIRE(position != std::string::npos);
  return text.replace(position, from.size(), to);
}

Config Parsed(const std::string& text) {
  std::vector<ConfigError> reasons;
  auto config = ParseConfig(text, reasons);
  REQUIRE(config);
  REQUIRE(reasons.empty());
  return *config;
}

std::vector<ConfigError> ErrorsOf(const std::string& text) {
  std::vector<ConfigError> reasons;
  REQUIRE_FALSE(ParseConfig(text, reasons));
  return reasons;
}

ConfigError OnlyErrorOf(const std::string& text) {
  const auto reasons = ErrorsOf(text);
  REQUIRE(reasons.size() == 1);
  return reasons.front();
}

std::string ReadExample(const std::string& name) {
  std::ifstream file(std::string(COWSLIPMAST_EXAMPLES_DIR) + "/" + name);
  REQUIRE(file);
  return {std::istreambuf_iterator<char>(file), {}};
}

TEST_CASE("a valid configuration is read with its units", "[config]") {
  const Config config = Parsed(kText);
  CHECK(config.regions == std::vector{RegionId("luzon")});
  CHECK(config.data_centres.at(DataCentreId("cebu")).availability ==
        DataCentreAvailability::kOutOfService);
  const ServiceConfig& desk = config.services.at(ServiceId("desk"));
  CHECK(desk.depends_on == std::vector{ServiceId("till")});
  CHECK(desk.deadline == std::chrono::seconds(1));
  CHECK(config.teams.at(TeamId("quotes")).quota.cpu == MilliCores(100'000));
  CHECK(config.worker_classes.at(WorkerClassId("standard")).rack_size == 8);
}

TEST_CASE("the examples pass the check", "[config]") {
  const Config shops = Parsed(ReadExample("kapisanan.toml"));
  CHECK(shops.data_centres.size() == 3);
  CHECK(shops.services.at(ServiceId("refill-desk")).slots == Slots(8));
  const Config buses = Parsed(ReadExample("rangamanch.toml"));
  CHECK(buses.data_centres.size() == 3);
  CHECK(buses.services.at(ServiceId("booking-desk")).slots == Slots(8));
}

TEST_CASE("an error is reported with its position and what is expected",
          "[config]") {
  SECTION("a misspelt key, with the nearest known key") {
    const auto reasons = ErrorsOf(Replaced(kText, "slots = 8", "slot = 8"));
    REQUIRE(reasons.size() == 2);
    CHECK(reasons[0].kind == ConfigErrorKind::kMissingKey);
    CHECK(reasons[0].line == 12);
    CHECK(reasons[1].kind == ConfigErrorKind::kUnknownKey);
    CHECK(reasons[1].line == 15);
    CHECK(reasons[1].column == 1);
    CHECK(reasons[1].expected == "slots (the nearest known key)");
  }
  SECTION("a wrong type or a number out of range") {
    auto error = OnlyErrorOf(Replaced(kText, "slots = 8", "slots = \"8\""));
    CHECK(error.kind == ConfigErrorKind::kWrongType);
    CHECK(error.line == 15);
    CHECK(error.column == 9);
    CHECK(error.found == "\"8\"");
    error = OnlyErrorOf(Replaced(kText, "slots = 8", "slots = 0"));
    CHECK(error.kind == ConfigErrorKind::kOutOfRange);
    CHECK(error.expected == "a whole number from 1 to 1024");
    error = OnlyErrorOf(Replaced(kText, "\"in\"", "\"on\""));
    CHECK(error.expected == "\"in\" or \"out\"");
  }
  SECTION("a name that is not safe in a URL path") {
    CHECK(OnlyErrorOf(Replaced(kText, "\"quotes\"", "\"a/b\"")).kind ==
          ConfigErrorKind::kOutOfRange);
  }
  SECTION("a second entry with the same id") {
    const auto error = OnlyErrorOf(Replaced(kText, "\"cebu\"", "\"bulacan\""));
    CHECK(error.kind == ConfigErrorKind::kDuplicateName);
    CHECK(error.line == 9);
  }
  SECTION("an unknown reference") {
    const auto error = OnlyErrorOf(Replaced(kText, "[\"till\"]", "[\"tilt\"]"));
    CHECK(error.kind == ConfigErrorKind::kUnknownReference);
    CHECK(error.expected == "the id of a service, as \"till\"");
  }
  SECTION("a dependency cycle, reported once") {
    const auto error = OnlyErrorOf(Replaced(
        kText, "id = \"till\"", "id = \"till\"\ndepends_on = [\"desk\"]"));
    CHECK(error.kind == ConfigErrorKind::kDependencyCycle);
    CHECK(error.found == "desk -> till -> desk");
  }
  SECTION("a quota of a resource that no worker has") {
    const auto error = OnlyErrorOf(kText + "accelerators = 2\n");
    CHECK(error.kind == ConfigErrorKind::kTooLargeForAnyVm);
    CHECK(error.line == 30);
  }
  SECTION("an empty text, which would remove everything") {
    CHECK(ErrorsOf("").size() == 2);
  }
  SECTION("a text that is too long or is not TOML") {
    CHECK(OnlyErrorOf(std::string(kMaxConfigBytes + 1, '#')).kind ==
          ConfigErrorKind::kTextTooLarge);
    CHECK(OnlyErrorOf(kText + "id = \"again\"\n").kind ==
          ConfigErrorKind::kSyntax);
  }
  SECTION("all errors, in the order of the text") {
    std::string text = Replaced(kText, "deadline_ms = 2000", "deadline_ms = 0");
    text = Replaced(text, "region = \"luzon\"", "region = \"luton\"");
    text = Replaced(text, "cores = 64", "cores = 6.4");
    const auto reasons = ErrorsOf(text);
    REQUIRE(reasons.size() == 3);
    CHECK(reasons[0].line == 6);
    CHECK(reasons[1].line == 14);
    CHECK(reasons[2].line == 23);
  }
}

TEST_CASE("a long chain of dependencies is checked", "[config]") {
  // A recursive search for cycles would overflow the stack on a text near the
  // size limit.
  std::string text = kText;
  for (int i = 0; i < 3000; ++i)
    text += "[[service]]\nid = \"s" + std::to_string(i) +
            "\"\ndeadline_ms = 1\nslots = 1\ndepends_on = [\"s" +
            std::to_string(i + 1) + "\"]\n";
  text += "[[service]]\nid = \"s3000\"\ndeadline_ms = 1\nslots = 1\n";
  CHECK(Parsed(text).services.size() == 3003);
}

const DataCentreId kBulacan("bulacan");

TEST_CASE("an edit of the availability changes one value only", "[config]") {
  ConfigError reason;
  const auto out = EditAvailability(
      kText, kBulacan, DataCentreAvailability::kOutOfService, reason);
  REQUIRE(out);
  CHECK(*out == Replaced(kText, "\"in\"     # since", "\"out\"     # since"));

  SECTION("and nothing if the data centre already has this state") {
    CHECK(EditAvailability(*out, kBulacan,
                           DataCentreAvailability::kOutOfService,
                           reason) == *out);
  }
  SECTION("and is undone by the opposite edit") {
    CHECK(EditAvailability(*out, kBulacan, DataCentreAvailability::kInService,
                           reason) == kText);
  }
  SECTION("an unknown data centre or an invalid text is refused") {
    CHECK_FALSE(EditAvailability(kText, DataCentreId("manila"),
                                 DataCentreAvailability::kOutOfService,
                                 reason));
    CHECK(reason.kind == ConfigErrorKind::kUnknownReference);
    CHECK_FALSE(EditAvailability(kText + "x = 1", kBulacan,
                                 DataCentreAvailability::kOutOfService,
                                 reason));
    CHECK(reason.kind == ConfigErrorKind::kUnknownKey);
  }
}

TEST_CASE("an edit of the availability finds the value in any layout",
          "[config]") {
  // A wrong byte offset would overwrite text next to the value.
  const std::string layout = GENERATE(
      std::string(
          "[[data_centre]]\nid = \"x\"\nregion = \"r\"\nstate = \"in\""),
      std::string("[[data_centre]]\r\nstate = 'in'\r\nid = 'x'\r\n"
                  "region = \"r\"\r\n"),
      std::string("[[data_centre]] # ålesund 東京 \nid = \"x\"\n"
                  "region = \"r\"\nstate = \"\"\"in\"\"\" # in ü\n"),
      std::string("data_centre = [ { id = \"x\", \"region\" = \"r\", "
                  "\"state\" = \"in\" } ] # é\n"));
  const std::string text =
      layout[0] == 'd'
          ? layout + "[[region]]\nid = \"r\"\n"
          : "\xEF\xBB\xBF# 東京\n[[region]]\nid = \"r\"\n" + layout;
  const DataCentreId id("x");
  ConfigError reason;
  const auto out =
      EditAvailability(text, id, DataCentreAvailability::kOutOfService, reason);
  INFO(text << reason.found);
  REQUIRE(out);
  CHECK(out->size() == text.size() + 1);
  CHECK(EditAvailability(*out, id, DataCentreAvailability::kInService,
                         reason) == text);
}

TEST_CASE("configurations are compared by their entries", "[config]") {
  const Config before = Parsed(kText);
  CHECK(DiffConfigs(before, Parsed("# moved\n" + kText)).empty());

  std::string text = Replaced(kText, "slots = 8", "slots = 6");
  text = Replaced(text, "id = \"quotes\"", "id = \"orders\"");
  const auto changes = DiffConfigs(before, Parsed(text));
  REQUIRE(changes.size() == 3);
  CHECK(DescribeConfigChange(changes[0]) ==
        "changed service \"till\": slots 8 -> 6");
  CHECK(DescribeConfigChange(changes[1]) == "removed team \"quotes\"");
  CHECK(DescribeConfigChange(changes[2]) == "added team \"orders\"");
}

TEST_CASE("texts are compared line by line", "[config]") {
  CHECK(DiffLines("a\nb\nc\n", "a\nb\nc", 3).empty());
  CHECK(DiffLines("a\nb\nc\nd\ne\n", "a\nx\nc\nd\nf\n", 0) ==
        "-b\n+x\n...\n-e\n+f\n");
  CHECK(DiffLines("a\nb\nc\n", "a\nb\nnew\nc\n", 1) == " b\n+new\n c\n");
}

TEST_CASE("the configuration parser handles any text", "[config]") {
  CHECK(rc::check("any bytes", [](const std::string& text) {
    std::vector<ConfigError> reasons;
    const bool valid = ParseConfig(text, reasons).has_value();
    RC_ASSERT(valid == reasons.empty());
  }));
  CHECK(rc::check("a mutated valid text, edited twice if still valid", [] {
    std::string text = kText;
    const auto edits =
        *rc::gen::container<std::vector<std::pair<size_t, char>>>(
            *rc::gen::inRange<size_t>(0, 4),
            rc::gen::pair(rc::gen::inRange<size_t>(0, text.size()),
                          rc::gen::element('#', '\n', ' ', '"', 'x', '\xc3',
                                           '=', '[', '1', '\'', '\r')));
    for (const auto& [position, byte] : edits) {
      if (edits.size() % 2 == 0)
        text.insert(position, 1, byte);
      else
        text[position] = byte;
    }
    std::vector<ConfigError> reasons;
    if (!ParseConfig(text, reasons)) {
      RC_ASSERT(!reasons.empty());
      return;
    }
    ConfigError reason;
    const auto out = EditAvailability(
        text, kBulacan, DataCentreAvailability::kOutOfService, reason);
    // The edit of a valid text may fail only because the mutation has removed
    // the data centre.
    RC_ASSERT(out || reason.kind == ConfigErrorKind::kUnknownReference);
    if (!out)
      return;
    RC_ASSERT(EditAvailability(*out, kBulacan,
                               DataCentreAvailability::kInService,
                               reason) == text);
  }));
}

}  // namespace
}  // namespace cowslipmast
