#ifndef COWSLIPMAST_TESTS_CLI_CLI_FIXTURE_H_
#define COWSLIPMAST_TESTS_CLI_CLI_FIXTURE_H_

#include <fstream>
#include <string>
#include <utility>
#include <vector>

#include "src/cli/run_command.h"
#include "tests/cli/fake_control_log.h"

namespace cowslipmast {

inline const std::string kConfigText = R"([[region]]
id = "luzon"
[[data_centre]]
id = "cebu"  # Visayas
region = "luzon"
state = "in"
[[service]]
id = "desk"
deadline_ms = 1000
slots = 8
)";

/** Returns kConfigText with another number of slots for the service. */
inline std::string ConfigTextWithSlots(int slots) {
  std::string text = kConfigText;
  return text.replace(text.find("slots = 8"), 9,
                      "slots = " + std::to_string(slots));
}

/** Runs commands against a fake control log on one event loop. */
struct CliFixture {
  asio::io_context io;
  FakeControlLog log{io};
  std::unique_ptr<HttpClient> http = HttpClient::Make(io, HttpClientLimits{});
  CliOptions options;

  CliFixture() {
    options.store = log.endpoint();
    options.author = "ana";
    options.timeout = std::chrono::seconds(5);
  }

  // Runs all commands concurrently.
  std::vector<CommandResult> RunAll(const std::vector<PositionalArgs>& calls) {
    std::vector<CommandResult> results(calls.size());
    size_t open = calls.size();
    for (size_t i = 0; i < calls.size(); ++i) {
      asio::co_spawn(
          io,
          [this, &calls, &results, &open, i]() -> asio::awaitable<void> {
            results[i] = co_await RunCommand(*http, calls[i], options);
            --open;
          },
          asio::detached);
    }
    io.restart();
    while (open > 0)
      io.run_one();
    return results;
  }

  CommandResult Run(const PositionalArgs& args) {
    return RunAll({args}).front();
  }

  static std::string WriteFile(const std::string& name,
                               const std::string& text) {
    std::ofstream(name, std::ios::binary) << text;
    return name;
  }

  CommandResult Publish(const std::string& text) {
    return Run({"config", "publish", WriteFile("cli_test.tmp", text)});
  }
};

}  // namespace cowslipmast

#endif  // COWSLIPMAST_TESTS_CLI_CLI_FIXTURE_H_
