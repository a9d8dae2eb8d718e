#include "src/net/peer_set.h"

#include <catch2/catch.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "src/net/peer_link_msm.h"
#include "tests/net/relay.h"

namespace cowslipmast {
namespace {

constexpr auto kRunTimeout = std::chrono::seconds(20);

PeerHandlers MakeHandlers(const ProcessId& self) {
  PeerHandlers handlers;
  handlers.heartbeat = [self] {
    Heartbeat heartbeat;
    heartbeat.process = self;
    heartbeat.folded_next = LogOffset(7);
    heartbeat.free_slots[ServiceId("desk")] = Slots(3);
    return heartbeat;
  };
  handlers.forward = [](RouterRequest request) -> asio::awaitable<RouterReply> {
    RouterReply reply;
    reply.outcome = RequestOutcome::kAnswered;
    reply.response.body = request.id.value() + "|" + request.body;
    co_return reply;
  };
  handlers.read_log = [](StreamId stream, LogOffset from, uint32_t,
                         Duration) -> asio::awaitable<std::optional<LogPage>> {
    if (stream != StreamId("control"))
      co_return std::nullopt;
    LogPage page;
    page.end = from.Next();
    page.entries.push_back({from, "entry"});
    page.asked_at = std::chrono::steady_clock::now();
    co_return page;
  };
  return handlers;
}

struct Fixture {
  asio::io_context io;
  NetError reason;
  std::unique_ptr<PeerSet> server =
      PeerSet::Make(io,
                    {"127.0.0.1", 0},
                    MakeHandlers(ProcessId("server")),
                    reason);
  std::unique_ptr<PeerSet> client =
      PeerSet::Make(io,
                    {"127.0.0.1", 0},
                    MakeHandlers(ProcessId("client")),
                    reason);

  void ConnectThrough(uint16_t port, const char* process = "server") {
    PeerSpec spec;
    spec.member.process = ProcessId(process);
    spec.member.peer_endpoint = {"127.0.0.1", port};
    client->SetPeers({spec});
  }

  bool RunUntil(const std::function<bool()>& condition) {
    const auto until = std::chrono::steady_clock::now() + kRunTimeout;
    io.restart();
    while (!condition() && std::chrono::steady_clock::now() < until)
      io.run_one_for(std::chrono::milliseconds(100));
    return condition();
  }

  PeerView View() const { return client->Peers().at(0); }
  bool IsUp() const { return View().link == PeerLink::kUp; }

  template <typename T>
  std::optional<T> Run(asio::awaitable<std::optional<T>> call) {
    std::optional<T> value;
    bool done = false;
    asio::co_spawn(io, std::move(call),
                   [&](const std::exception_ptr&, std::optional<T> result) {
                     value = std::move(result);
                     done = true;
                   });
    RunUntil([&] { return done; });
    return value;
  }

  std::optional<RouterReply> Forward() {
    RouterRequest request;
    request.id = RequestId("r1");
    request.body = std::string("\0body", 5);
    return Run(client->Forward(ProcessId("server"), request,
                               std::chrono::seconds(2), reason));
  }
};

TEST_CASE("two processes exchange heartbeats and requests", "[net]") {
  Fixture fixture;
  REQUIRE(fixture.server);
  REQUIRE(fixture.client);

  SECTION("a request forwarded before a connection exists has not run") {
    CHECK_FALSE(fixture.Forward());
    CHECK_FALSE(fixture.reason.request_sent);
  }

  SECTION("once connected") {
    fixture.ConnectThrough(fixture.server->port());
    REQUIRE(fixture.RunUntil([&] { return fixture.IsUp(); }));
    CHECK(fixture.View().last->folded_next == LogOffset(7));
    CHECK(fixture.View().last->free_slots.at(ServiceId("desk")) == Slots(3));

    SECTION("a forwarded request gets a complete reply") {
      const auto reply = fixture.Forward();
      REQUIRE(reply);
      CHECK(reply->outcome == RequestOutcome::kAnswered);
      CHECK(reply->response.body == std::string("r1|\0body", 8));
    }
    SECTION("a stream that the peer follows can be read from it") {
      const auto page = fixture.Run(fixture.client->ReadLog(
          ProcessId("server"), StreamId("control"), LogOffset(4), 10,
          Duration(0), fixture.reason));
      REQUIRE(page);
      CHECK(page->entries.at(0).offset == LogOffset(4));
    }
    SECTION("a stream that the peer does not follow cannot") {
      CHECK_FALSE(fixture.Run(fixture.client->ReadLog(
          ProcessId("server"), StreamId("other"), LogOffset(0), 10, Duration(0),
          fixture.reason)));
    }
    SECTION("a peer that ends is detected and its connection is not reused") {
      fixture.server.reset();
      CHECK(fixture.RunUntil([&] { return !fixture.IsUp(); }));
      CHECK_FALSE(fixture.Forward());
      CHECK_FALSE(fixture.reason.request_sent);
    }
  }

  SECTION("another process on the port of a peer is not taken for that peer") {
    // Guards against attributing heartbeats of a new process to the old one.
    fixture.ConnectThrough(fixture.server->port(), "former");
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(2);
    fixture.RunUntil([&] { return std::chrono::steady_clock::now() > end; });
    CHECK(fixture.View().link == PeerLink::kDown);
    CHECK_FALSE(fixture.View().last);
  }

  SECTION("an unresponsive connection is replaced by a working one") {
    Relay relay(fixture.io, fixture.server->port());
    fixture.ConnectThrough(relay.port());
    REQUIRE(fixture.RunUntil([&] { return fixture.IsUp(); }));
    const auto last_answer = fixture.View().asked_at;
    relay.BlackholeOpenConnections();
    CHECK(fixture.RunUntil([&] {
      return fixture.IsUp() && relay.accepted() == 2 &&
             fixture.View().asked_at - last_answer > std::chrono::seconds(1);
    }));
    CHECK(fixture.Forward());
  }
}

TEST_CASE("a fresh connection is opened next to an unresponsive one", "[net]") {
  auto link = PeerLinkMachine::Make();
  CHECK(link->state() == PeerLink::kDown);
  CHECK(link->Process(PeerLinkEvent::kRetry).open_fresh);
  CHECK(link->Process(PeerLinkEvent::kFreshAnswered).keep_fresh);
  REQUIRE(link->state() == PeerLink::kUp);

  SECTION("when the current one is unresponsive") {
    CHECK(link->Process(PeerLinkEvent::kUnresponsive).open_fresh);
    REQUIRE(link->state() == PeerLink::kSuspect);
    SECTION("and the old one is kept if it responds first") {
      CHECK(link->Process(PeerLinkEvent::kAnswered).drop_fresh);
      CHECK(link->state() == PeerLink::kUp);
    }
    SECTION("and both are closed if neither responds") {
      CHECK(link->Process(PeerLinkEvent::kExpired).drop_all);
      CHECK(link->state() == PeerLink::kDown);
    }
  }
  SECTION("but a response while the link is up changes nothing") {
    CHECK_FALSE(link->Process(PeerLinkEvent::kAnswered).drop_fresh);
    CHECK(link->state() == PeerLink::kUp);
  }
}

}  // namespace
}  // namespace cowslipmast
