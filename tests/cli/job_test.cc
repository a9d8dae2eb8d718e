#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include <string>
#include <vector>

#include "src/cli/job_file.h"
#include "src/daemon/job_json.h"
#include "tests/cli/cli_fixture.h"

namespace cowslipmast {
namespace {

/** Admin port of a placer. Answers with the queued statuses in order, then with
 * 200. Status 0 records the request and closes the connection. */
struct FakePlacer {
  std::deque<uint16_t> statuses;
  std::string body = R"({"state":"waiting"})";
  std::vector<HttpRequest> requests;
  std::unique_ptr<standins::FaultInjectionServer> server;

  explicit FakePlacer(asio::io_context& io) {
    NetError reason;
    server = standins::FaultInjectionServer::Make(
        io, {"127.0.0.1", 0},
        [this](HttpRequest request)
            -> asio::awaitable<standins::InjectedResponse> {
          requests.push_back(std::move(request));
          const uint16_t status = statuses.empty() ? 200 : statuses.front();
          if (!statuses.empty())
            statuses.pop_front();
          if (status == 0)
            co_return standins::InjectedResponse{
                {}, standins::ResponseDelivery::kDropConnection};
          co_return standins::InjectedResponse{
              MakeJsonResponse(status, body),
              standins::ResponseDelivery::kComplete};
        },
        reason);
  }

  std::string IdOf(size_t request) const {
    return standins::Json::parse(requests.at(request).body)["id"];
  }
};

TEST_CASE("submitting a job", "[cli]") {
  CliFixture fixture;
  FakePlacer placer(fixture.io);
  fixture.options.daemon = Endpoint{"127.0.0.1", placer.server->port()};
  fixture.options.job.team = "quotes";
  fixture.options.job.kind = "ledger";
  fixture.options.job.cpu_millis = 500;
  fixture.options.job.memory_mib = 64;
  fixture.options.job.run_ms = 1000;
  std::string announced;
  size_t sent_before = 0;
  fixture.options.print_immediately = [&](const std::string& line) {
    announced = line;
    sent_before = placer.requests.size();
  };

  SECTION("prints the id of the job before sending it") {
    const auto result = fixture.Run({"job", "submit"});
    CHECK(result.code == ExitCode::kOk);
    CHECK(announced == "job " + placer.IdOf(0));
    CHECK(sent_before == 0);
    CHECK(result.data["job"] == placer.IdOf(0));
    // The daemon must understand the JSON keys that the tool writes.
    JobJsonError error;
    const auto spec = JobSpecFromJson(placer.requests[0].body, error);
    INFO(error.key);
    REQUIRE(spec);
    CHECK(spec->resources.cpu == MilliCores(500));
    CHECK(spec->run_time == std::chrono::seconds(1));
  }
  SECTION("repeats the submission with the same id if the reply is lost") {
    placer.statuses = {0, 504, 200};
    CHECK(fixture.Run({"job", "submit"}).code == ExitCode::kOk);
    REQUIRE(placer.requests.size() == 3);
    CHECK(placer.IdOf(0) == placer.IdOf(2));
  }
  SECTION("does not repeat a submission that was refused") {
    placer.statuses = {422};
    CHECK(fixture.Run({"job", "submit"}).code == ExitCode::kInvalidInput);
    CHECK(placer.requests.size() == 1);
  }
  SECTION("reports an unknown outcome if there is no reply by the timeout") {
    placer.statuses.assign(100, 0);
    fixture.options.timeout = std::chrono::milliseconds(300);
    CHECK(fixture.Run({"job", "submit"}).code == ExitCode::kUnknownOutcome);
  }
  SECTION("reports that nothing was changed if the process is starting") {
    placer.statuses.assign(100, 503);
    placer.body = R"({"error":"starting"})";
    fixture.options.timeout = std::chrono::milliseconds(300);
    CHECK(fixture.Run({"job", "submit"}).code == ExitCode::kUnavailable);

    SECTION("but an unknown outcome if the job may have been recorded") {
      placer.body = R"({"error":"unknown"})";
      CHECK(fixture.Run({"job", "submit"}).code == ExitCode::kUnknownOutcome);
    }
  }
  SECTION("sends nothing if the memory size is missing") {
    fixture.options.job.memory_mib = 0;
    CHECK(fixture.Run({"job", "submit"}).code == ExitCode::kInvalidInput);
    CHECK(placer.requests.empty());
  }
  SECTION("reads the job from a file, which excludes job flags") {
    const std::string file = CliFixture::WriteFile(
        "job.tmp", R"({"id":"j1","team":"orders","kind":"fill","cpu_millis":1,
        "memory_mib":1,"run_ms":1,"data_centres":["cebu"]})");
    CHECK(fixture.Run({"job", "submit", file}).code == ExitCode::kOk);
    CHECK(placer.IdOf(0) == "j1");
    fixture.options.given_flags = {"team"};
    CHECK(fixture.Run({"job", "submit", file}).code == ExitCode::kUsage);
  }
}

TEST_CASE("the status of a job is shown and the job is cancelled", "[cli]") {
  CliFixture fixture;
  FakePlacer placer(fixture.io);
  fixture.options.daemon = Endpoint{"127.0.0.1", placer.server->port()};
  placer.statuses = {200, 404, 0, 200};
  CHECK(fixture.Run({"job", "status", "j1"}).code == ExitCode::kOk);
  CHECK(fixture.Run({"job", "status", "j2"}).code == ExitCode::kNotFound);
  CHECK(fixture.Run({"job", "cancel", "j1"}).code == ExitCode::kOk);
  CHECK(placer.requests.back().method == "DELETE");
  CHECK(placer.requests.back().path == "/v1/jobs/j1");
  // An id such as "../x" would address another path of the process.
  CHECK(fixture.Run({"job", "cancel", "../x"}).code == ExitCode::kInvalidInput);
  CHECK(placer.requests.size() == 4);
}

TEST_CASE("the job file parser reports an error for any invalid text",
          "[cli]") {
  CHECK(rc::check("mutated job files", [] {
    std::string text = R"({"id":"j","task_count":3,"data_centres":["a"]})";
    const auto position = *rc::gen::inRange<size_t>(0, text.size());
    text[position] = *rc::gen::arbitrary<char>();
    JobFileError reason;
    const bool valid = ParseJobFile(text, reason).has_value();
    RC_ASSERT(valid || !reason.key.empty() || !reason.expected.empty());
  }));
}

}  // namespace
}  // namespace cowslipmast
