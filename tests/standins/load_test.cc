#include <catch2/catch.hpp>

#include <memory>

#include "standins/common/fault_injection_server.h"
#include "standins/target/answer_body.h"
#include "tests/standins/await_result.h"
#include "tools/load/load_run.h"
#include "tools/load/request_latency_histogram.h"
#include "tools/load/request_load.h"

namespace cowslipmast::load {
namespace {

using standins::Await;
using standins::FaultInjectionServer;
using standins::InjectedResponse;
using standins::Json;
using standins::ResponseDelivery;

RequestResult MakeResult(const std::string& id,
                         CallerOutcome outcome,
                         bool idempotent) {
  RequestResult result;
  result.request.id = id;
  result.request.idempotent = idempotent;
  result.outcome = outcome;
  result.latency = std::chrono::milliseconds(10);
  return result;
}

std::vector<std::string> FaultsIn(const RequestReport& requests) {
  LoadReport report;
  report.requests = requests;
  return FaultsOf(report, 0);
}

TEST_CASE("the load report checks requests against the runs on targets",
          "[load]") {
  SECTION("accepts runs that are consistent with the outcomes") {
    const RequestReport report = MakeRequestReport(
        {MakeResult("a", CallerOutcome::kAnswered, false),
         MakeResult("b", CallerOutcome::kAnswered, true),
         MakeResult("c", CallerOutcome::kNotRun, false),
         MakeResult("d", CallerOutcome::kUnknown, false),
         MakeResult("e", CallerOutcome::kConnectionLost, false)},
        {{"a", 1}, {"b", 2}, {"c", 0}, {"d", 1}, {"e", 0}});
    CHECK(FaultsIn(report).empty());
    CHECK(report.p50_ms == Approx(10).epsilon(0.02));
  }
  SECTION("reports a request that was refused and ran") {
    const auto report = MakeRequestReport(
        {MakeResult("a", CallerOutcome::kNotRun, true)}, {{"a", 1}});
    CHECK(FaultsIn(report).size() == 1);
  }
  SECTION("reports an answered request that did not run") {
    const auto report = MakeRequestReport(
        {MakeResult("a", CallerOutcome::kAnswered, true)}, {});
    CHECK(FaultsIn(report).size() == 1);
  }
  SECTION("reports a non-idempotent request that ran twice") {
    const auto report = MakeRequestReport(
        {MakeResult("a", CallerOutcome::kUnknown, false)}, {{"a", 2}});
    CHECK(FaultsIn(report).size() == 1);
  }
  SECTION("reports responses that are damaged or have no outcome") {
    RequestResult mixed_up = MakeResult("a", CallerOutcome::kAnswered, true);
    mixed_up.intact = false;
    const auto report = MakeRequestReport(
        {mixed_up, MakeResult("b", CallerOutcome::kMissingOutcomeHeader, true)},
        {{"a", 1}});
    CHECK(report.damaged == 2);
  }
  SECTION("reports that too few requests were answered") {
    LoadReport report;
    report.requests =
        MakeRequestReport({MakeResult("a", CallerOutcome::kAnswered, true),
                           MakeResult("b", CallerOutcome::kNotRun, true)},
                          {{"a", 1}});
    CHECK(FaultsOf(report, 50).empty());
    CHECK(FaultsOf(report, 51).size() == 1);
  }
}

TEST_CASE("the load report checks jobs against the runs on workers", "[load]") {
  JobResult job;
  job.id = "j";
  job.tasks = 2;
  job.accepted = true;
  job.outcome = JobOutcome::kDone;
  Json stats = {{"tasks_done",
                 {{{"job", "j"}, {"index", 0}, {"count", 1}},
                  {{"job", "j"}, {"index", 1}, {"count", 1}}}}};
  LoadReport report;

  SECTION("accepts a job whose tasks were each done once") {
    report.jobs = MakeJobReport({job}, stats);
    CHECK(FaultsOf(report, 0).empty());
  }
  SECTION("reports a task that no worker has done") {
    // The placer reports the job as done, but the workers' counts decide.
    stats["tasks_done"].erase(1);
    report.jobs = MakeJobReport({job}, stats);
    CHECK(report.jobs.lost == 1);
    CHECK(FaultsOf(report, 0).size() == 1);
  }
  SECTION("reports a task that was done twice") {
    stats["tasks_done"][0]["count"] = 2;
    report.jobs = MakeJobReport({job}, stats);
    CHECK(report.jobs.doubled == 1);
    CHECK(FaultsOf(report, 0).size() == 1);
  }
  SECTION("reports violations recorded by the stand-in workers") {
    stats["violations"] = Json::array({{{"kind", "two_places"}}});
    report.jobs = MakeJobReport({job}, stats);
    CHECK(FaultsOf(report, 0).size() == 1);
  }
}

TEST_CASE("the latency histogram estimates quantiles", "[load]") {
  RequestLatencyHistogram latencies;
  CHECK(latencies.QuantileMs(0.99) == 0);
  for (int ms = 1; ms <= 100; ++ms)
    latencies.Add(std::chrono::milliseconds(ms));
  latencies.Add(std::chrono::hours(1));
  CHECK(latencies.QuantileMs(0.5) == Approx(50).epsilon(0.03));
  CHECK(latencies.QuantileMs(0.97) == Approx(98).epsilon(0.03));
}

// An entry process that answers every request as `delivery` tells.
struct CallerFixture {
  asio::io_context io;
  NetError reason;
  std::unique_ptr<HttpClient> client = HttpClient::Make(io, {});
  RequestOptions options;
  ResponseDelivery delivery = ResponseDelivery::kComplete;
  std::string body_id;  // if set, the body answers this request id
  std::unique_ptr<FaultInjectionServer> server = FaultInjectionServer::Make(
      io,
      {"127.0.0.1", 0},
      [this](HttpRequest request) { return Answer(std::move(request)); },
      reason);

  CallerFixture() {
    options.entries = {{"127.0.0.1", server->port()}};
    options.service = "desk";
  }
  asio::awaitable<InjectedResponse> Answer(HttpRequest request) {
    std::string id(
        FindHeader(request.headers, "Cowslipmast-Request-Id").value_or(""));
    HttpResponse response;
    response.headers = {{"Cowslipmast-Outcome", "answered"}};
    response.body = standins::MakeAnswerBody(
        body_id.empty() ? id : body_id,
        std::stoul(QueryParameter(request.path, "bytes").value_or("0")));
    co_return InjectedResponse{std::move(response), delivery};
  }
  RequestResult Send() {
    Caller caller(*client, options);
    return Await(io, caller.Send({"id-1", false, 100}));
  }
};

TEST_CASE("a caller behind a load balancer", "[load]") {
  CallerFixture fixture;
  REQUIRE(fixture.server);

  SECTION("recognises the complete response to its request") {
    const RequestResult result = fixture.Send();
    CHECK(result.outcome == CallerOutcome::kAnswered);
    CHECK(result.intact);
  }
  SECTION("recognises a response to another request") {
    fixture.body_id = "id-2";
    CHECK_FALSE(fixture.Send().intact);
  }
  SECTION("tries another entry process if the first cannot be reached") {
    auto gone = FaultInjectionServer::Make(fixture.io, {"127.0.0.1", 0}, {},
                                           fixture.reason);
    fixture.options.entries.insert(fixture.options.entries.begin(),
                                   {"127.0.0.1", gone->port()});
    gone.reset();
    const RequestResult result = fixture.Send();
    CHECK(result.outcome == CallerOutcome::kAnswered);
    CHECK(result.failovers == 1);
  }
  SECTION("does not repeat a request that may have been received") {
    fixture.options.entries.push_back(fixture.options.entries[0]);
    fixture.delivery = ResponseDelivery::kDropConnection;
    const RequestResult result = fixture.Send();
    CHECK(result.outcome == CallerOutcome::kConnectionLost);
    CHECK(result.failovers == 0);
  }
  SECTION("sends the requested number of requests") {
    fixture.options.count = 50;
    fixture.options.rate = GENERATE(0, 5000);
    RequestLoadGenerator load(fixture.io, *fixture.client, fixture.options);
    bool done = false;
    asio::co_spawn(
        fixture.io,
        [&]() -> asio::awaitable<void> {
          co_await load.Run();
          done = true;
        },
        asio::detached);
    while (!done)
      fixture.io.run_one();
    CHECK(load.results().size() == 50);
  }
}

// The fake placer drops the first submission without a reply, accepts the
// second and then reports `view`.
TEST_CASE("the job load generator", "[load]") {
  asio::io_context io;
  NetError reason;
  const auto client = HttpClient::Make(io, {});
  Json view = {{"state", "done"}};
  int submissions = 0;
  const auto server = FaultInjectionServer::Make(
      io, {"127.0.0.1", 0},
      [&](HttpRequest request) -> asio::awaitable<InjectedResponse> {
        if (request.method == "POST" && ++submissions == 1)
          co_return InjectedResponse{{}, ResponseDelivery::kDropConnection};
        co_return InjectedResponse{MakeJsonResponse(200, view.dump())};
      },
      reason);
  REQUIRE(server);
  JobOptions options;
  options.placers = {{"127.0.0.1", server->port()}};
  options.jobs = 1;
  const auto run = [&]() -> asio::awaitable<JobResult> {
    JobLoadGenerator load(io, *client, options);
    co_await load.Run();
    co_return load.results()[0];
  };

  SECTION("repeats a submission whose reply was lost") {
    const JobResult job = Await(io, run());
    CHECK(job.accepted);
    CHECK(job.outcome == JobOutcome::kDone);
    CHECK(submissions == 2);
  }
  SECTION("treats a job as done once no task is unfinished") {
    view = {{"tasks", {{"done", 1}, {"failed", 0}, {"unfinished", 0}}}};
    CHECK(Await(io, run()).outcome == JobOutcome::kDone);
  }
  SECTION("gives up on a job that is not done in time") {
    view["state"] = "running";
    options.time_limit = std::chrono::milliseconds(300);
    const JobResult job = Await(io, run());
    CHECK(job.accepted);
    CHECK(job.outcome == JobOutcome::kUnfinished);
  }
}

}  // namespace
}  // namespace cowslipmast::load
