#include <catch2/catch.hpp>

#include <cstdint>
#include <string>
#include <vector>

#include "absl/flags/flag.h"
#include "src/cli/command_table.h"
#include "src/cli/flag_parser.h"
#include "src/cli/help.h"
#include "tests/cli/cli_fixture.h"

// Two flags of the tool that the daemon, which is linked here, does not define.
ABSL_FLAG(uint64_t, base, 0, "");
ABSL_FLAG(bool, urgent, false, "");

namespace cowslipmast {
namespace {

bool Parse(std::vector<const char*> arguments,
           ParsedArguments& parsed,
           UsageError& reason) {
  arguments.insert(arguments.begin(), "cowslipmast");
  return ParseArguments(static_cast<int>(arguments.size()), arguments.data(),
                        parsed, reason);
}

TEST_CASE("flags are parsed and invalid flags are refused", "[cli]") {
  ParsedArguments parsed;
  UsageError reason;
  REQUIRE(Parse({"config", "--urgent", "publish", "--base", "7", "-"}, parsed,
                reason));
  CHECK(parsed.positional == PositionalArgs{"config", "publish", "-"});
  CHECK(absl::GetFlag(FLAGS_base) == 7);
  CHECK(absl::GetFlag(FLAGS_urgent));
  CHECK(parsed.given_flags == std::set<std::string>{"base", "urgent"});
  CHECK_FALSE(Parse({"--base=x"}, parsed, reason));
  CHECK_FALSE(Parse({"--base"}, parsed, reason));
  CHECK(reason.expected == "a value");
  CHECK_FALSE(Parse({"--bass=7"}, parsed, reason));
  CHECK(reason.name == "--bass");
}

TEST_CASE("a wrong command line is refused before anything is sent", "[cli]") {
  CliFixture fixture;
  CHECK(fixture.Run({}).code == ExitCode::kUsage);
  CHECK(fixture.Run({"config"}).code == ExitCode::kUsage);
  CHECK(fixture.Run({"dc", "drain"}).code == ExitCode::kUsage);
  CHECK(fixture.Run({"dc", "drain", ""}).code == ExitCode::kUsage);
  CHECK(fixture.Run({"status"}).code == ExitCode::kUsage);  // no --daemon
  // `dc drain` does not check a base version, so --base would mislead.
  fixture.options.given_flags = {"base"};
  CHECK(fixture.Run({"dc", "drain", "cebu"}).code == ExitCode::kUsage);
}

TEST_CASE("every command has a help text and JSON output", "[cli]") {
  for (const CommandSpec& command : AllCommands()) {
    PositionalArgs args;
    for (const std::string_view word : Split(command.name, ' '))
      args.emplace_back(word);
    CHECK(HelpText(args).find("Usage: cowslipmast " +
                              std::string(command.name)) == 0);
    CHECK(HelpText({}).find(std::string(command.name)) != std::string::npos);
  }
  CHECK(HelpText({"dc"}).find("config check") == std::string::npos);
  const auto json = nlohmann::json::parse(Render(
      MakeResult(ExitCode::kConflict, "late \xff"), OutputFormat::kJson));
  CHECK(json["result"] == "conflict");
  CHECK(json["exit_code"] == 2);
}

}  // namespace
}  // namespace cowslipmast
