#include <catch2/catch.hpp>

#include <memory>

#include "src/net/http_client.h"
#include "standins/target/answer_body.h"
#include "standins/target/target_service.h"
#include "tests/standins/await.h"

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

TEST_CASE("the judge of the targets", "[standins]") {
  TargetFleet fleet(MakeTargets());

  SECTION("accepts as many requests at a time as there are slots") {
    fleet.Begin(0, "a", false);
    fleet.Begin(0, "b", false);
    fleet.End(0);
    fleet.Begin(0, "c", false);
    CHECK(fleet.violations().empty());

    SECTION("and reports one more") {
      fleet.Begin(0, "d", false);
      REQUIRE(fleet.violations().size() == 1);
      CHECK(fleet.violations()[0].kind == TargetViolationKind::kOverSlots);
      CHECK(fleet.violations()[0].count == 3);
    }
  }
  SECTION("reports a non-idempotent request that ran on two targets") {
    fleet.Begin(0, "a", false);
    fleet.Begin(1, "a", false);
    REQUIRE(fleet.violations().size() == 1);
    CHECK(fleet.violations()[0].kind == TargetViolationKind::kRanMoreThanOnce);
    CHECK(fleet.Stats()["violations"][0]["kind"] == "ran_more_than_once");
    CHECK(fleet.Runs("a") == 2);
  }
  SECTION("accepts an idempotent request that ran again") {
    fleet.Begin(0, "a", true);
    fleet.Begin(1, "a", true);
    CHECK(fleet.violations().empty());

    SECTION("but not if the mark was lost on the way") {
      fleet.Begin(1, "a", false);
      CHECK(fleet.violations().size() == 1);
    }
  }
}

TEST_CASE("the body of an answer", "[standins]") {
  const std::string body = MakeAnswerBody("id-1", 1000);
  CHECK(IsAnswerBody(body, "id-1", 1000));
  // An answer of another request or a shortened one must not pass.
  CHECK_FALSE(IsAnswerBody(MakeAnswerBody("id-2", 1000), "id-1", 1000));
  CHECK_FALSE(IsAnswerBody(body.substr(0, 500), "id-1", 1000));
}

struct Fixture {
  asio::io_context io;
  TargetService service{io,
                        MakeTargets(),
                        {.service_time = std::chrono::milliseconds(1)}};
  NetError reason;
  std::unique_ptr<FaultServer> server = FaultServer::Make(
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
    const FaultAnswer answer = Await(io, service.HandleControl(request));
    CHECK(answer.response.status == 200);
    return Json::parse(answer.response.body);
  }
  void SetMode(const std::string& mode) {
    Control("/control", R"({"target":"all","mode":")" + mode + R"("})");
  }
  uint64_t Runs() {
    return Control("/ran", R"({"ids":["id-1"]})")["runs"]["id-1"];
  }
};

TEST_CASE("a target over HTTP", "[standins]") {
  Fixture fixture;
  REQUIRE(fixture.server);

  SECTION("answers with the body of the request") {
    const auto response = fixture.Call();
    REQUIRE(response);
    CHECK(IsAnswerBody(response->body, "id-1", 500));
    CHECK(fixture.Runs() == 1);
  }
  SECTION("that is silent runs nothing and never answers") {
    fixture.SetMode("silent");
    CHECK_FALSE(fixture.Call(std::chrono::milliseconds(50)));
    CHECK(fixture.reason.kind == NetErrorKind::kTimeout);
    CHECK(fixture.Runs() == 0);
  }
  SECTION("that cuts answers short has run the request") {
    fixture.SetMode("cut_short");
    CHECK_FALSE(fixture.Call());
    CHECK(fixture.reason.request_sent);
    CHECK(fixture.Runs() == 1);
  }
  SECTION("that closes connections has run the request") {
    fixture.SetMode("close");
    CHECK_FALSE(fixture.Call());
    CHECK(fixture.reason.kind == NetErrorKind::kConnectionLost);
    CHECK(fixture.Runs() == 1);
  }
  SECTION("that fails answers 500") {
    fixture.SetMode("failing");
    CHECK(fixture.Call()->status == 500);
    CHECK(fixture.Runs() == 1);
  }
  SECTION("that is leaving answers 503 and runs nothing") {
    fixture.SetMode("leaving");
    CHECK(fixture.Call()->status == 503);
    CHECK(fixture.Runs() == 0);
  }
}

}  // namespace
}  // namespace cowslipmast::standins
