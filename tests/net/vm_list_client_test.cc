#include "src/net/vm_list_client.h"

#include <catch2/catch.hpp>

#include <memory>
#include <optional>
#include <string>

#include "src/net/http_server.h"

namespace cowslipmast {
namespace {

constexpr const char* kOneWorker =
    R"({"vms":[{"id":"w1","kind":"worker","state":"live",)"
    R"("address":"127.0.0.1:9","cores":64,"memory_mib":1000}]})";

// Platform that sends an entity tag and counts the bodies sent.
struct Platform {
  asio::io_context io;
  NetError reason;
  int bodies = 0;
  std::string body = kOneWorker;
  std::string tag = "\"1\"";
  std::unique_ptr<HttpClient> client = HttpClient::Make(io, HttpClientLimits{});
  std::unique_ptr<HttpServer> server = HttpServer::Make(
      io,
      {"127.0.0.1", 0},
      HttpServerLimits{},
      [this](HttpRequest request) -> asio::awaitable<HttpResponse> {
        HttpResponse response;
        response.headers.push_back({"ETag", tag});
        response.status =
            FindHeader(request.headers, "If-None-Match") == tag ? 304 : 200;
        if (response.status == 200) {
          ++bodies;
          response.body = body;
        }
        co_return response;
      },
      reason);

  std::optional<VmListRead> Read(const std::string& known) {
    std::optional<VmListRead> read;
    bool done = false;
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void> {
          const Endpoint endpoint{"127.0.0.1", server->port()};
          read = co_await ReadVmList(*client, endpoint, known,
                                     std::chrono::seconds(5), reason);
          done = true;
        },
        asio::detached);
    io.restart();
    while (!done)
      io.run_one();
    return read;
  }
};

TEST_CASE("the VM list is read", "[net]") {
  Platform platform;
  const auto first = platform.Read("");
  REQUIRE(first);
  REQUIRE(first->vms);
  CHECK(first->vms->at(0).resources.cpu == MilliCores(64000));

  SECTION("and not sent again while it is unchanged") {
    // Guards against 2 MB/s of traffic per process with 9,000 rows.
    const auto second = platform.Read(first->entity_tag);
    REQUIRE(second);
    CHECK_FALSE(second->vms);
    CHECK(second->entity_tag == first->entity_tag);
    CHECK(platform.bodies == 1);
    SECTION("but sent again after a change") {
      platform.tag = "\"2\"";
      platform.body = R"({"vms":[]})";
      const auto third = platform.Read(second->entity_tag);
      REQUIRE(third);
      REQUIRE(third->vms);
      CHECK(third->vms->empty());
    }
  }
  SECTION(
      "and a malformed list is rejected, so that the last valid one stays") {
    platform.tag = "\"3\"";
    platform.body = R"({"vms":[{"id":"w1","kind":"cow","state":"live"}]})";
    CHECK_FALSE(platform.Read(first->entity_tag));
    CHECK(platform.reason.kind == NetErrorKind::kBadResponse);
  }
}

}  // namespace
}  // namespace cowslipmast
