#include "tools/load/load_run.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>

#include "tools/load/request_load.h"

namespace cowslipmast::load {

using standins::Json;

namespace {

constexpr Duration kStatsTimeout = std::chrono::seconds(10);
constexpr size_t kIdsPerQuery = 1000;

asio::awaitable<std::optional<Json>> QueryJson(HttpClient& http,
                                               Endpoint endpoint,
                                               HttpRequest request) {
  NetError error;
  const auto response =
      co_await http.Call(endpoint, std::move(request), kStatsTimeout, error);
  if (!response || response->status != 200)
    co_return std::nullopt;
  co_return standins::ParseObject(response->body);
}

asio::awaitable<std::optional<Json>> QueryStats(HttpClient& http,
                                                Endpoint endpoint) {
  HttpRequest request;
  request.path = "/stats";
  co_return co_await QueryJson(http, endpoint, std::move(request));
}

HttpRequest MakeRunCountsRequest(const std::vector<RequestResult>& results,
                                 size_t first) {
  Json ids = Json::array();
  const size_t stop = std::min(results.size(), first + kIdsPerQuery);
  for (size_t i = first; i < stop; ++i)
    ids.push_back(results[i].request.id);
  HttpRequest request;
  request.method = "POST";
  request.path = "/ran";
  request.body = Json{{"ids", std::move(ids)}}.dump();
  return request;
}

asio::awaitable<std::optional<RunCounts>> QueryRunCounts(
    HttpClient& http,
    Endpoint endpoint,
    const std::vector<RequestResult>& results) {
  RunCounts runs;
  for (size_t i = 0; i < results.size(); i += kIdsPerQuery) {
    const auto json =
        co_await QueryJson(http, endpoint, MakeRunCountsRequest(results, i));
    if (!json || !json->contains("runs"))
      co_return std::nullopt;
    for (const auto& [id, count] : json->at("runs").items())
      runs[id] = count.get<uint64_t>();
  }
  co_return runs;
}

asio::awaitable<void> CheckRequests(HttpClient& http,
                                    Endpoint targets,
                                    const std::vector<RequestResult>& results,
                                    LoadReport& report) {
  const auto runs = co_await QueryRunCounts(http, targets, results);
  const auto stats = co_await QueryStats(http, targets);
  if (!runs || !stats) {
    report.requests = MakeRequestReport(results, {});
    report.requests.answered_not_run = 0;
    report.unchecked.emplace_back("requests against the targets");
    co_return;
  }
  report.requests = MakeRequestReport(results, *runs);
  report.requests.target_violations = stats->value("violations", Json::array());
}

asio::awaitable<void> CheckJobs(HttpClient& http,
                                Endpoint workers,
                                const std::vector<JobResult>& results,
                                LoadReport& report) {
  const auto stats = co_await QueryStats(http, workers);
  report.jobs = MakeJobReport(results, stats.value_or(Json::object()));
  if (!stats)
    report.unchecked.emplace_back("jobs against the workers");
}

}  // namespace

asio::awaitable<LoadReport> RunLoad(asio::io_context& io,
                                    HttpClient& http,
                                    const LoadOptions& options) {
  RequestLoadGenerator requests(io, http, options.requests);
  JobLoadGenerator jobs(io, http, options.jobs);
  CoroutineGroup group(io);
  if (!options.requests.entries.empty())
    group.Spawn(requests.Run());
  if (!options.jobs.placers.empty())
    group.Spawn(jobs.Run());
  co_await group.Wait();

  LoadReport report;
  if (options.targets_control) {
    co_await CheckRequests(http, *options.targets_control, requests.results(),
                           report);
  } else if (!requests.results().empty()) {
    report.unchecked.emplace_back("requests: no --targets_control");
  }
  if (options.workers_control) {
    co_await CheckJobs(http, *options.workers_control, jobs.results(), report);
  } else if (!jobs.results().empty()) {
    report.unchecked.emplace_back("jobs: no --workers_control");
  }
  co_return report;
}

}  // namespace cowslipmast::load
