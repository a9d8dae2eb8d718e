#include <catch2/catch.hpp>

#include <memory>

#include "src/net/http_client.h"
#include "standins/target/answer_body.h"
#include "standins/target/target_service.h"
#include "tests/standins/await_result.h"

namespace cowslipmast::standins {
namespace {

std::vector<VmInfo> MakeTargets() {
  VmInfo first;
  first.id = VmId("t0");
  first.slots = Slots(2);
  VmInfo second = first;
  second.id = VmId("t1");
  return {first, second};
}

TEST_CASE("the run tracker of the targets", "[standins]") {
  TargetRunTracker tracker(MakeTargets());

  SECTION("accepts as many concurrent requests as there are slots") {
    tracker.BeginRun(0, "a", false);
    tracker.BeginRun(0, "b", false);
    tracker.EndRun(0);
    tracker.BeginRun(0, "c", false);
    CHECK(tracker.violations().empty());

    SECTION("and reports one request more") {
      tracker.BeginRun(0, "d", false);
      REQUIRE(tracker.violations().size() == 1);
      CHECK(tracker.violations()[0].kind ==
            TargetViolationKind::kOverSlotLimit);
      CHECK(tracker.violations()[0].count == 3);
    }
  }
  SECTION("reports a non-idempotent request that ran on two targets") {
    tracker.BeginRun(0, "a", false);
    tracker.BeginRun(1, "a", false);
    REQUIRE(tracker.violations().size() == 1);
    CHECK(tracker.violations()[0].kind ==
          TargetViolationKind::kRanMoreThanOnce);
    CHECK(tracker.Stats()["violations"][0]["kind"] == "ran_more_than_once");
    CHECK(tracker.RunCount("a") == 2);
  }
  SECTION("accepts an idempotent request that ran again") {
    tracker.BeginRun(0, "a", true);
    tracker.BeginRun(1, "a", true);
    CHECK(tracker.violations().empty());

    SECTION("but not if one run lacked the mark as idempotent") {
      tracker.BeginRun(1, "a", false);
      CHECK(tracker.violations().size() == 1);
    }
  }
}

TEST_CASE("the body of a response is verified", "[standins]") {
  const std::string body = MakeAnswerBody("id-1", 1000);
  CHECK(IsCompleteAnswerBody(body, "id-1", 1000));
  // A response to another request or a truncated one must not pass.
  CHECK_FALSE(IsCompleteAnswerBody(MakeAnswerBody("id-2", 1000), "id-1", 1000));
  CHECK_FALSE(IsCompleteAnswerBody(body.substr(0, 500), "id-1", 1000));
}

struct TargetFixture {
  asio::io_context io;
  TargetService service{io,
                        MakeTargets(),
                        {.service_time = std::chrono::milliseconds(1)}};
  NetError reason;
  std::unique_ptr<FaultInjectionServer> server = FaultInjectionServer::Make(
      io,
      {"127.0.0.1", 0},
      [this](HttpRequest request) {
        return service.Handle(0, std::move(request));
      },
      reason);
  std::unique_ptr<HttpClient> client = HttpClient::Make(io, {});

  std::optional<HttpResponse> Call(Duration timeout = std::chrono::seconds(5)) {
    const Endpoint endpoint{"127.0.0.1", server->port()};
    const HttpRequest request{
        "GET", "/desk/x?bytes=500", {{"Cowslipmast-Request-Id", "id-1"}}, ""};
    return Await(io, client->Call(endpoint, request, timeout, reason));
  }
  Json Control(const std::string& path, const std::string& body) {
    const HttpRequest request{"POST", path, {}, body};
    const InjectedResponse answer = Await(io, service.HandleControl(request));
    CHECK(answer.response.status == 200);
    return Json::parse(answer.response.body);
  }
  void SetMode(const std::string& mode) {
    Control("/control", R"({"target":"all","mode":")" + mode + R"("})");
  }
  uint64_t RunCount() {
    return Control("/ran", R"({"ids":["id-1"]})")["runs"]["id-1"];
  }
};

TEST_CASE("a target over HTTP", "[standins]") {
  TargetFixture fixture;
  REQUIRE(fixture.server);

  SECTION("answers with the body of the request") {
    const auto response = fixture.Call();
    REQUIRE(response);
    CHECK(IsCompleteAnswerBody(response->body, "id-1", 500));
    CHECK(fixture.RunCount() == 1);
  }
  SECTION("that is silent runs nothing and never answers") {
    fixture.SetMode("silent");
    CHECK_FALSE(fixture.Call(std::chrono::milliseconds(50)));
    CHECK(fixture.reason.kind == NetErrorKind::kTimeout);
    CHECK(fixture.RunCount() == 0);
  }
  SECTION("that truncates responses has run the request") {
    fixture.SetMode("cut_short");
    CHECK_FALSE(fixture.Call());
    CHECK(fixture.reason.request_sent);
    CHECK(fixture.RunCount() == 1);
  }
  SECTION("that closes connections has run the request") {
    fixture.SetMode("close");
    CHECK_FALSE(fixture.Call());
    CHECK(fixture.reason.kind == NetErrorKind::kConnectionLost);
    CHECK(fixture.RunCount() == 1);
  }
  SECTION("that fails answers 500") {
    fixture.SetMode("failing");
    CHECK(fixture.Call()->status == 500);
    CHECK(fixture.RunCount() == 1);
  }
  SECTION("that is leaving answers 503 and runs nothing") {
    fixture.SetMode("leaving");
    CHECK(fixture.Call()->status == 503);
    CHECK(fixture.RunCount() == 0);
  }
}

}  // namespace
}  // namespace cowslipmast::standins
