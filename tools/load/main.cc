#include <exception>
#include <iostream>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "absl/time/time.h"
#include "src/core/strings.h"
#include "standins/common/vm_rows.h"
#include "tools/load/load_run.h"

ABSL_FLAG(std::string,
          entries,
          "",
          "address:port of each entry process, separated by commas");
ABSL_FLAG(std::string, service, "refill-desk", "service to call");
ABSL_FLAG(double, rate, 0, "requests per second; 0 sends back to back");
ABSL_FLAG(uint64_t, connections, 8, "concurrent callers, with rate 0");
ABSL_FLAG(uint64_t, count, 0, "requests to send; 0 means no limit");
ABSL_FLAG(absl::Duration,
          time,
          absl::ZeroDuration(),
          "time during which requests are sent; 0 means no limit");
ABSL_FLAG(uint64_t,
          non_idempotent_percent,
          30,
          "percentage of non-idempotent requests");
ABSL_FLAG(uint64_t, deadline_ms, 2000, "deadline of each request");
ABSL_FLAG(uint64_t, max_answer_bytes, 4096, "maximum size of a response body");
ABSL_FLAG(uint64_t,
          min_answered_percent,
          0,
          "the run fails if fewer requests are answered");
ABSL_FLAG(std::string, targets_control, "", "control port of the targets");
ABSL_FLAG(std::string, workers_control, "", "control port of the workers");
ABSL_FLAG(std::string,
          placers,
          "",
          "admin address:port of each placer, separated by commas");
ABSL_FLAG(uint64_t, jobs, 0, "batch jobs to submit");
ABSL_FLAG(uint64_t, tasks_per_job, 10, "number of tasks of each job");
ABSL_FLAG(uint64_t, urgent_every, 4, "every n-th job is urgent; 0 means none");
ABSL_FLAG(std::string, team, "", "team that submits the jobs");
ABSL_FLAG(std::string, kind, "batch", "kind of the tasks");
ABSL_FLAG(uint64_t, cpu_millis, 2000, "declared processor time of a task");
ABSL_FLAG(uint64_t, memory_mib, 2048, "declared memory of a task");
ABSL_FLAG(uint64_t, accelerators, 0, "declared accelerators of a task");
ABSL_FLAG(uint64_t, run_ms, 500, "declared run time of a task");
ABSL_FLAG(std::string,
          job_data_centres,
          "",
          "allowed data centres, used by the jobs in turn, as in a,b;c");
ABSL_FLAG(absl::Duration,
          job_time_limit,
          absl::Seconds(30),
          "time until all jobs must be done");
ABSL_FLAG(std::string, output, "text", "text or json");
ABSL_FLAG(uint64_t, seed, 1, "seed of the random number generator");

namespace cowslipmast::load {
namespace {

Duration ToDuration(absl::Duration time) {
  return Duration(absl::ToInt64Microseconds(time));
}

// Parses addresses separated by commas. Returns nothing if one is not valid.
std::optional<std::vector<Endpoint>> ParseList(const std::string& text) {
  std::vector<Endpoint> endpoints;
  if (text.empty())
    return endpoints;
  for (const std::string_view part : Split(text, ',')) {
    const auto endpoint = standins::SplitAddress(std::string(part));
    if (!endpoint)
      return std::nullopt;
    endpoints.push_back(*endpoint);
  }
  return endpoints;
}

std::vector<std::vector<std::string>> ParseDataCentres(
    const std::string& text) {
  std::vector<std::vector<std::string>> lists;
  if (text.empty())
    return lists;
  for (const std::string_view list : Split(text, ';')) {
    lists.emplace_back();
    for (const std::string_view name : Split(list, ','))
      lists.back().emplace_back(name);
  }
  return lists;
}

RequestOptions ReadRequestOptions(std::vector<Endpoint> entries) {
  RequestOptions options;
  options.entries = std::move(entries);
  options.service = absl::GetFlag(FLAGS_service);
  options.rate = absl::GetFlag(FLAGS_rate);
  options.connections = absl::GetFlag(FLAGS_connections);
  options.count = absl::GetFlag(FLAGS_count);
  options.time = ToDuration(absl::GetFlag(FLAGS_time));
  options.non_idempotent_percent = absl::GetFlag(FLAGS_non_idempotent_percent);
  options.deadline_ms = absl::GetFlag(FLAGS_deadline_ms);
  options.max_answer_bytes = absl::GetFlag(FLAGS_max_answer_bytes);
  options.seed = absl::GetFlag(FLAGS_seed);
  return options;
}

JobOptions ReadJobOptions(std::vector<Endpoint> placers) {
  JobOptions options;
  options.placers = std::move(placers);
  options.jobs = absl::GetFlag(FLAGS_jobs);
  options.tasks_per_job = absl::GetFlag(FLAGS_tasks_per_job);
  options.urgent_every = absl::GetFlag(FLAGS_urgent_every);
  options.team = absl::GetFlag(FLAGS_team);
  options.kind = absl::GetFlag(FLAGS_kind);
  options.cpu_millis = absl::GetFlag(FLAGS_cpu_millis);
  options.memory_mib = absl::GetFlag(FLAGS_memory_mib);
  options.accelerators = absl::GetFlag(FLAGS_accelerators);
  options.run_ms = absl::GetFlag(FLAGS_run_ms);
  options.data_centres =
      ParseDataCentres(absl::GetFlag(FLAGS_job_data_centres));
  options.time_limit = ToDuration(absl::GetFlag(FLAGS_job_time_limit));
  return options;
}

std::optional<LoadOptions> ReadOptions() {
  auto entries = ParseList(absl::GetFlag(FLAGS_entries));
  auto placers = ParseList(absl::GetFlag(FLAGS_placers));
  if (!entries || !placers)
    return std::nullopt;
  const bool unlimited = absl::GetFlag(FLAGS_count) == 0 &&
                         absl::GetFlag(FLAGS_time) == absl::ZeroDuration();
  if (!entries->empty() && unlimited)
    return std::nullopt;
  LoadOptions options;
  options.requests = ReadRequestOptions(std::move(*entries));
  options.jobs = ReadJobOptions(std::move(*placers));
  options.targets_control =
      standins::SplitAddress(absl::GetFlag(FLAGS_targets_control));
  options.workers_control =
      standins::SplitAddress(absl::GetFlag(FLAGS_workers_control));
  options.min_answered_percent = absl::GetFlag(FLAGS_min_answered_percent);
  return options;
}

// Rethrows an exception of the load run, which ends the program.
void Rethrow(const std::exception_ptr& error) {
  if (error)
    std::rethrow_exception(error);
}

LoadReport Run(const LoadOptions& options) {
  asio::io_context io;
  HttpClientLimits limits;
  limits.idle_connections_per_endpoint = 1024;
  const auto http = HttpClient::Make(io, limits);
  LoadReport report;
  asio::co_spawn(
      io,
      [&]() -> asio::awaitable<void> {
        report = co_await RunLoad(io, *http, options);
      },
      Rethrow);
  io.run();
  return report;
}

}  // namespace
}  // namespace cowslipmast::load

int main(int argc, char** argv) {
  using namespace cowslipmast::load;
  absl::SetProgramUsageMessage(
      "Sends requests and batch jobs and compares the responses with what the "
      "stand-ins recorded. Exits with 0 only if no request or task was lost or "
      "ran twice, and no guarantee was violated.");
  absl::ParseCommandLine(argc, argv);
  const auto options = ReadOptions();
  if (!options) {
    std::cerr << "an address is not valid, or neither --count nor --time is "
                 "set; see --help\n";
    return 64;
  }
  const LoadReport report = Run(*options);
  const auto faults = FaultsOf(report, options->min_answered_percent);
  if (absl::GetFlag(FLAGS_output) == "json")
    std::cout << ReportToJson(report, faults).dump(2) << "\n";
  else
    std::cout << ReportToTable(report, faults);
  return faults.empty() ? 0 : 1;
}
