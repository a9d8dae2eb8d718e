#include <catch2/catch.hpp>

#include "standins/log/log_service.h"
#include "tests/standins/await_result.h"

namespace cowslipmast::standins {
namespace {

struct LogServiceFixture {
  asio::io_context io;
  LogService service{io, 4};

  InjectedResponse Call(const std::string& method,
                        const std::string& path,
                        const std::string& body = "") {
    const HttpRequest request{method, path, {}, body};
    return Await(io, service.Handle(request));
  }
  InjectedResponse Append(const std::string& body) {
    return Call("POST", "/v1/streams/control/append", body);
  }
  InjectedResponse Read(uint64_t from, uint64_t wait_ms = 0) {
    return Call("GET", "/v1/streams/control/read?from=" + std::to_string(from) +
                           "&max=3&wait_ms=" + std::to_string(wait_ms));
  }
  void Control(const std::string& body) {
    CHECK(Call("POST", "/control", body).response.status == 200);
  }
};

Json Body(const InjectedResponse& answer) {
  return Json::parse(answer.response.body);
}

TEST_CASE("the log stand-in", "[standins]") {
  LogServiceFixture fixture;
  for (const char* entry : {"a", "b", "c", "d"})
    fixture.Append(entry);

  SECTION("returns entries in order with their offsets") {
    const Json page = Body(fixture.Read(1));
    CHECK(page["oldest"] == 0);
    CHECK(page["end"] == 4);
    REQUIRE(page["entries"].size() == 3);
    CHECK(page["entries"][0]["offset"] == 1);
    CHECK(page["entries"][0]["data"] == "Yg==");

    SECTION("and counts calls and bytes of the stream") {
      const Json stats =
          Body(fixture.Call("GET", "/stats"))["streams"]["control"];
      CHECK(stats["appends"] == 4);
      CHECK(stats["reads"] == 1);
      CHECK(stats["bytes_written"] == 4);
      CHECK(stats["bytes_read"].get<size_t>() == page.dump().size());
    }
  }

  SECTION("returns no entries for an offset at or past the end") {
    // A reader may hold a larger offset from a store that was lost; reading
    // there must not go out of bounds.
    CHECK(Body(fixture.Read(4))["entries"].empty());
    CHECK(Body(fixture.Read(UINT64_MAX))["entries"].empty());
  }

  SECTION("answers 410 for entries that are no longer retained") {
    fixture.Append("e");
    const InjectedResponse expired = fixture.Read(0);
    CHECK(expired.response.status == 410);
    CHECK(Body(expired)["oldest"] == 1);
    fixture.Control(R"({"retain":2})");
    CHECK(fixture.Read(2).response.status == 410);
    CHECK(fixture.Read(3).response.status == 200);
  }

  SECTION("ends a long poll at the next append") {
    asio::steady_timer later(fixture.io, std::chrono::milliseconds(20));
    later.async_wait([&](const boost::system::error_code&) {
      asio::co_spawn(
          fixture.io,
          [&]() -> asio::awaitable<void> {
            const HttpRequest request{
                "POST", "/v1/streams/control/append", {}, "late"};
            co_await fixture.service.Handle(request);
          },
          asio::detached);
    });
    const auto start = std::chrono::steady_clock::now();
    const Json page = Body(fixture.Read(4, 10000));
    CHECK(page["entries"].size() == 1);
    CHECK(std::chrono::steady_clock::now() - start < std::chrono::seconds(5));
  }

  SECTION("stores an append once although its reply is lost") {
    fixture.Control(R"({"lose_replies":1})");
    CHECK(fixture.Append("lost").delivery == ResponseDelivery::kDropConnection);
    CHECK(fixture.Append("kept").delivery == ResponseDelivery::kComplete);
    CHECK(Body(fixture.Read(4))["entries"].size() == 2);
  }

  SECTION("serves and stores nothing during an outage") {
    fixture.Control(R"({"outage":true})");
    CHECK(fixture.Append("x").response.status == 503);
    CHECK(fixture.Read(0).response.status == 503);
    fixture.Control(R"({"outage":false})");
    CHECK(Body(fixture.Read(4))["end"] == 4);
  }

  SECTION("delays each call by the configured time") {
    fixture.Control(R"({"delay_ms":30})");
    const auto start = std::chrono::steady_clock::now();
    fixture.Append("x");
    CHECK(std::chrono::steady_clock::now() - start >=
          std::chrono::milliseconds(30));
  }
}

}  // namespace
}  // namespace cowslipmast::standins
