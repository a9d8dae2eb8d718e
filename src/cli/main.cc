#include <unistd.h>

#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <string>
#include <utility>

#include "absl/flags/flag.h"
#include "absl/time/time.h"
#include "src/cli/flag_parser.h"
#include "src/cli/help.h"
#include "src/cli/run_command.h"
#include "src/core/strings.h"
#include "src/net/asio.h"
#include "src/net/endpoint.h"
#include "src/net/http_client.h"

// The texts for --help are in command_table.cc.
ABSL_FLAG(std::string, store, "", "");
ABSL_FLAG(std::string, daemon, "", "");
ABSL_FLAG(std::string, output, "text", "");
ABSL_FLAG(absl::Duration, timeout, absl::Seconds(10), "");
ABSL_FLAG(std::string, author, "", "");
ABSL_FLAG(uint64_t, base, 0, "");
ABSL_FLAG(uint64_t, version, 0, "");
ABSL_FLAG(std::string, cause, "", "");
ABSL_FLAG(std::string, id, "", "");
ABSL_FLAG(std::string, team, "", "");
ABSL_FLAG(std::string, kind, "", "");
ABSL_FLAG(uint64_t, task_count, 1, "");
ABSL_FLAG(uint64_t, cpu_millis, 0, "");
ABSL_FLAG(uint64_t, memory_mib, 0, "");
ABSL_FLAG(uint64_t, accelerators, 0, "");
ABSL_FLAG(uint64_t, run_ms, 0, "");
ABSL_FLAG(bool, urgent, false, "");
ABSL_FLAG(bool, latency_critical, false, "");
ABSL_FLAG(std::string, data_centres, "", "");

namespace cowslipmast {

namespace {

bool ReadEndpoint(const absl::Flag<std::string>& flag,
                  const char* name,
                  std::optional<Endpoint>& endpoint,
                  UsageError& reason) {
  const std::string text = absl::GetFlag(flag);
  if (text.empty())
    return true;
  endpoint = ParseEndpoint(text);
  if (!endpoint)
    reason = {name, "an IP address and a port, as 127.0.0.1:8080"};
  return endpoint.has_value();
}

bool ReadTimeout(Duration& timeout, UsageError& reason) {
  const absl::Duration value = absl::GetFlag(FLAGS_timeout);
  if (value < absl::Milliseconds(100) || value > absl::Hours(1)) {
    reason = {"--timeout", "a duration from 100ms to 1h"};
    return false;
  }
  timeout = Duration(absl::ToInt64Microseconds(value));
  return true;
}

bool ReadOutput(OutputFormat& output, UsageError& reason) {
  const std::string text = absl::GetFlag(FLAGS_output);
  output = text == "json" ? OutputFormat::kJson : OutputFormat::kText;
  if (text != "json" && text != "text") {
    reason = {"--output", "text or json"};
    return false;
  }
  return true;
}

JobRequest ReadJobFlags() {
  JobRequest job;
  job.id = absl::GetFlag(FLAGS_id);
  job.team = absl::GetFlag(FLAGS_team);
  job.kind = absl::GetFlag(FLAGS_kind);
  job.task_count = absl::GetFlag(FLAGS_task_count);
  job.cpu_millis = absl::GetFlag(FLAGS_cpu_millis);
  job.memory_mib = absl::GetFlag(FLAGS_memory_mib);
  job.accelerators = absl::GetFlag(FLAGS_accelerators);
  job.run_ms = absl::GetFlag(FLAGS_run_ms);
  job.urgent = absl::GetFlag(FLAGS_urgent);
  job.latency_critical = absl::GetFlag(FLAGS_latency_critical);
  const std::string data_centres = absl::GetFlag(FLAGS_data_centres);
  if (data_centres.empty())
    return job;
  for (const std::string_view part : Split(data_centres, ','))
    job.data_centres.emplace_back(part);
  return job;
}

std::string ReadAuthor() {
  std::string author = absl::GetFlag(FLAGS_author);
  if (!author.empty())
    return author;
  const char* user = std::getenv("USER");
  return user && *user ? user : "unknown";
}

bool MakeOptions(const ParsedArguments& arguments,
                 CliOptions& options,
                 UsageError& reason) {
  if (!ReadOutput(options.output, reason) ||
      !ReadTimeout(options.timeout, reason) ||
      !ReadEndpoint(FLAGS_store, "--store", options.store, reason) ||
      !ReadEndpoint(FLAGS_daemon, "--daemon", options.daemon, reason))
    return false;
  options.author = ReadAuthor();
  options.cause = absl::GetFlag(FLAGS_cause);
  options.given_flags = arguments.given_flags;
  if (arguments.given_flags.contains("base"))
    options.base = ConfigVersion(absl::GetFlag(FLAGS_base));
  if (arguments.given_flags.contains("version"))
    options.version = ConfigVersion(absl::GetFlag(FLAGS_version));
  options.job = ReadJobFlags();
  options.print_immediately = [](const std::string& line) {
    std::cerr << line << std::endl;
  };
  return true;
}

CommandResult RunOnLoop(PositionalArgs args, CliOptions options) {
  asio::io_context io;
  const auto http = HttpClient::Make(io, HttpClientLimits{});
  CommandResult result;
  asio::co_spawn(
      io,
      [&]() -> asio::awaitable<void> {
        result =
            co_await RunCommand(*http, std::move(args), std::move(options));
        // Idle connections would keep the loop running.
        io.stop();
      },
      asio::detached);
  io.run();
  return result;
}

int FailUsage(const UsageError& reason) {
  std::cerr << reason.name << ": expected " << reason.expected << "\n";
  return static_cast<int>(ExitCode::kUsage);
}

int Main(int argc, const char* const* argv) {
  ParsedArguments arguments;
  UsageError reason;
  if (!ApplyCliEnvironment(environ, reason) ||
      !ParseArguments(argc, argv, arguments, reason))
    return FailUsage(reason);
  if (arguments.help) {
    std::cout << HelpText(arguments.positional);
    return static_cast<int>(ExitCode::kOk);
  }
  CliOptions options;
  if (!MakeOptions(arguments, options, reason))
    return FailUsage(reason);
  const OutputFormat format = options.output;
  const CommandResult result =
      RunOnLoop(std::move(arguments.positional), std::move(options));
  const bool to_stdout =
      format == OutputFormat::kJson || result.code == ExitCode::kOk;
  (to_stdout ? std::cout : std::cerr) << Render(result, format) << std::flush;
  return static_cast<int>(result.code);
}

}  // namespace

}  // namespace cowslipmast

int main(int argc, char** argv) {
  return cowslipmast::Main(argc, argv);
}
