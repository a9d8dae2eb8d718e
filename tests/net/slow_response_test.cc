// Responses that arrive in parts. Guards against a large response that is given
// up while it arrives: the request is then repeated, and all of it is sent
// again over the link that was too slow for it once.

#include <catch2/catch.hpp>

#include <memory>
#include <optional>
#include <string>

#include "src/net/http_client.h"
#include "tests/net/slow_server.h"

namespace cowslipmast {
namespace {

using std::chrono::milliseconds;

constexpr size_t kBytes = 300000;
constexpr TransferTimeouts kTimeouts{.first_part = milliseconds(300),
                                     .next_part = milliseconds(300),
                                     .whole = milliseconds(1500)};

// A client that asks a slow server once.
struct Fixture {
  explicit Fixture(const SlowResponse& response) : server(io, response) {}

  std::optional<HttpResponse> Call() {
    std::optional<HttpResponse> response;
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void> {
          HttpRequest request;
          request.path = "/";
          response = co_await client->CallForTransfer(
              server.endpoint(), std::move(request), kTimeouts, reason);
          io.stop();
        },
        asio::detached);
    io.run_for(std::chrono::seconds(5));
    return response;
  }

  asio::io_context io;
  SlowServer server;
  std::unique_ptr<HttpClient> client = HttpClient::Make(io, HttpClientLimits{});
  NetError reason;
};

TEST_CASE("a large response that arrives slowly", "[net]") {
  SECTION("is read to its end while parts of it arrive") {
    Fixture fixture({.body = std::string(kBytes, 'x'),
                     .parts = 10,
                     .pause = milliseconds(100)});
    const auto response = fixture.Call();
    REQUIRE(response);
    CHECK(response->body.size() == kBytes);
  }
  SECTION("is given up") {
    SECTION("when no part of it arrives in time") {
      Fixture fixture({.body = std::string(kBytes, 'x'),
                       .parts = 2,
                       .pause = milliseconds(600)});
      CHECK_FALSE(fixture.Call());
      CHECK(fixture.reason.kind == NetErrorKind::kTimeout);
    }
    SECTION("when it takes too long as a whole") {
      // Parts without end must not keep a call open.
      Fixture fixture({.body = std::string(kBytes, 'x'),
                       .parts = 30,
                       .pause = milliseconds(100)});
      CHECK_FALSE(fixture.Call());
      CHECK(fixture.reason.kind == NetErrorKind::kTimeout);
    }
    SECTION("when its first part is late") {
      Fixture fixture({.body = std::string(kBytes, 'x'),
                       .parts = 1,
                       .pause = milliseconds(600)});
      CHECK_FALSE(fixture.Call());
      CHECK(fixture.reason.kind == NetErrorKind::kTimeout);
    }
  }
}

}  // namespace
}  // namespace cowslipmast
