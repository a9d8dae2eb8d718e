#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include <string>
#include <vector>

#include "src/cli/job_file.h"
#include "src/daemon/job_json.h"
#include "tests/cli/cli_fixture.h"

namespace cowslipmast {
namespace {

/** Admin port of a placer that answers with queued statuses; 0 runs the
 * request and closes the connection. */
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

TEST_CASE("a job is submitted", "[cli]") {
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

  SECTION("with an id that is printed before it is sent") {
    const auto result = fixture.Run({"job", "submit"});
    CHECK(result.code == ExitCode::kOk);
    CHECK(announced == "job " + placer.IdOf(0));
    CHECK(sent_before == 0);
    CHECK(result.data["job"] == placer.IdOf(0));
    // The tool and the process must agree on the keys.
    JobJsonError error;
    const auto spec = JobSpecFromJson(placer.requests[0].body, error);
    INFO(error.key);
    REQUIRE(spec);
    CHECK(spec->resources.cpu == MilliCores(500));
    CHECK(spec->run_time == std::chrono::seconds(1));
  }
  SECTION("again with the same id when the reply is lost") {
    placer.statuses = {0, 504, 200};
    CHECK(fixture.Run({"job", "submit"}).code == ExitCode::kOk);
    REQUIRE(placer.requests.size() == 3);
    CHECK(placer.IdOf(0) == placer.IdOf(2));
  }
  SECTION("with a refusal, which is not repeated") {
    placer.statuses = {422};
    CHECK(fixture.Run({"job", "submit"}).code == ExitCode::kInvalidInput);
    CHECK(placer.requests.size() == 1);
  }
  SECTION("with an unknown outcome when no reply comes at all") {
    placer.statuses.assign(100, 0);
    fixture.options.timeout = std::chrono::milliseconds(300);
    CHECK(fixture.Run({"job", "submit"}).code == ExitCode::kUnknownOutcome);
  }
  SECTION("not, when the process is not ready") {
    placer.statuses.assign(100, 503);
    placer.body = R"({"error":"starting"})";
    fixture.options.timeout = std::chrono::milliseconds(300);
    CHECK(fixture.Run({"job", "submit"}).code == ExitCode::kUnavailable);

    SECTION("unless it does not know whether the job was recorded") {
      placer.body = R"({"error":"unknown"})";
      CHECK(fixture.Run({"job", "submit"}).code == ExitCode::kUnknownOutcome);
    }
  }
  SECTION("not, when a size is missing") {
    fixture.options.job.memory_mib = 0;
    CHECK(fixture.Run({"job", "submit"}).code == ExitCode::kInvalidInput);
    CHECK(placer.requests.empty());
  }
  SECTION("from a file, which takes the place of the flags") {
    const std::string file = CliFixture::WriteFile(
        "job.tmp", R"({"id":"j1","team":"orders","kind":"fill","cpu_millis":1,
        "memory_mib":1,"run_ms":1,"data_centres":["cebu"]})");
    CHECK(fixture.Run({"job", "submit", file}).code == ExitCode::kOk);
    CHECK(placer.IdOf(0) == "j1");
    fixture.options.given_flags = {"team"};
    CHECK(fixture.Run({"job", "submit", file}).code == ExitCode::kUsage);
  }
}

TEST_CASE("a job is shown and cancelled", "[cli]") {
  CliFixture fixture;
  FakePlacer placer(fixture.io);
  fixture.options.daemon = Endpoint{"127.0.0.1", placer.server->port()};
  placer.statuses = {200, 404, 0, 200};
  CHECK(fixture.Run({"job", "status", "j1"}).code == ExitCode::kOk);
  CHECK(fixture.Run({"job", "status", "j2"}).code == ExitCode::kNotFound);
  CHECK(fixture.Run({"job", "cancel", "j1"}).code == ExitCode::kOk);
  CHECK(placer.requests.back().method == "DELETE");
  CHECK(placer.requests.back().path == "/v1/jobs/j1");
  // An id must not reach another path of the process.
  CHECK(fixture.Run({"job", "cancel", "../x"}).code == ExitCode::kInvalidInput);
  CHECK(placer.requests.size() == 4);
}

TEST_CASE("the parser of job files survives any text", "[cli]") {
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
