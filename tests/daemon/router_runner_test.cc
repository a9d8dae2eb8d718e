#include "src/daemon/router_runner.h"

#include <catch2/catch.hpp>

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "src/net/http_server.h"

namespace cowslipmast {
namespace {

const ServiceId kService("refill-desk");
const TargetId kTarget("target-1");
const ProcessId kPeer("peer-1");

RouterRequest MakeRequest(const std::string& id) {
  RouterRequest request;
  request.id = RequestId(id);
  request.service = kService;
  request.remaining = std::chrono::seconds(5);
  request.method = "POST";
  request.path = "/refill-desk/quote";
  request.body = id;
  return request;
}

asio::awaitable<HttpResponse> Echo(HttpRequest request) {
  co_return HttpResponse{.headers = {},
                         .body = request.path + "|" + request.body};
}

// Router with one target that has one slot, on loopback.
struct Fixture {
  asio::io_context io;
  Random random{20261204};
  std::unique_ptr<HttpClient> client = HttpClient::Make(io, HttpClientLimits{});
  std::unique_ptr<HttpServer> target;
  std::unique_ptr<RouterRunner> router;
  std::vector<RouterRequest> forwarded;

  explicit Fixture(HttpHandler handler) {
    NetError reason;
    target =
        HttpServer::Make(io, {"127.0.0.1", 0}, {}, std::move(handler), reason);
    REQUIRE(target);
    router = RouterRunner::Make(
        io, *client, random,
        [this](ProcessId, RouterRequest request, Duration,
               NetError&) -> asio::awaitable<std::optional<RouterReply>> {
          forwarded.push_back(std::move(request));
          RouterReply reply;
          reply.outcome = RequestOutcome::kAnswered;
          reply.response.body = "from the peer";
          co_return reply;
        },
        RouterLimits{});
    const RouterTargetInfo info{.id = kTarget,
                                .service = kService,
                                .slots = Slots(1),
                                .endpoint = {"127.0.0.1", target->port()}};
    router->SetTargets({kService}, {info});
    router->SetUsableTargets({kTarget}, TimePoint::max());
  }

  void Start(const RouterRequest& request, std::vector<RouterReply>& replies) {
    asio::co_spawn(
        io,
        [this, &replies, request]() -> asio::awaitable<void> {
          replies.push_back(
              co_await router->Serve(request, RequestOrigin::kCaller));
        },
        asio::detached);
  }

  void RunUntil(const std::vector<RouterReply>& replies, size_t count) {
    io.restart();
    while (replies.size() < count)
      io.run_one();
  }
};

TEST_CASE("the router of an entry process on loopback", "[daemon]") {
  std::vector<RouterReply> replies;

  SECTION("a request is served by an owned target") {
    Fixture fixture(Echo);
    fixture.Start(MakeRequest("a"), replies);
    fixture.RunUntil(replies, 1);
    CHECK(replies[0].outcome == RequestOutcome::kAnswered);
    CHECK(replies[0].response.body == "/refill-desk/quote|a");

    SECTION(
        "and the next one by a peer once the target may not be used any more") {
      // Guards against an owner that uses a target after losing it.
      fixture.router->SetUsableTargets({}, TimePoint::max());
      fixture.router->SetPeers({{.process = kPeer,
                                 .own_region = true,
                                 .free_slots = {{kService, Slots(1)}},
                                 .reported_at = TimePoint(Duration(1))}});
      fixture.Start(MakeRequest("b"), replies);
      fixture.RunUntil(replies, 2);
      CHECK(replies[1].response.body == "from the peer");
      CHECK(fixture.forwarded.size() == 1);
      CHECK(fixture.target->counters().requests == 1);
    }
  }
}

}  // namespace
}  // namespace cowslipmast
