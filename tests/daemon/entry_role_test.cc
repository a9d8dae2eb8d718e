#include "src/daemon/entry_role.h"

#include <catch2/catch.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "src/daemon/caller_headers.h"
#include "src/net/http_server.h"

namespace cowslipmast {
namespace {

constexpr const char* kConfig = R"([[region]]
id = "luzon"
[[data_centre]]
id = "bulacan"
region = "luzon"
state = "in"
[[service]]
id = "refill-desk"
depends_on = []
deadline_ms = 2000
slots = 8
)";

asio::awaitable<HttpResponse> Echo(HttpRequest request) {
  co_return HttpResponse{.headers = {}, .body = request.path};
}

// Entry role without a store: the test folds the entries of the log itself.
struct Fixture {
  asio::io_context io;
  NetError reason;
  Settings settings;
  ProcessId self{"vm-1/entry/1"};
  Random random{20261204};
  std::unique_ptr<HttpClient> http = HttpClient::Make(io, HttpClientLimits{});
  std::unique_ptr<LogClient> log = LogClient::Make(*http, {"127.0.0.1", 1});
  std::unique_ptr<Metrics> metrics = Metrics::Make();
  std::unique_ptr<ControlFold> control = ControlFold::Make();
  std::unique_ptr<StreamFollower> follower =
      StreamFollower::Make(io,
                           *log,
                           StreamId("control"),
                           MakeProducerId(random),
                           1,
                           StreamFold{});
  std::unique_ptr<PeerSet> peers =
      PeerSet::Make(io, {"127.0.0.1", 0}, PeerHandlers{}, reason);
  std::unique_ptr<HttpServer> target =
      HttpServer::Make(io, {"127.0.0.1", 0}, {}, Echo, reason);
  std::vector<VmInfo> vms;
  std::unique_ptr<EntryRole> role;
  RoleHooks hooks;

  Fixture() {
    settings.region = RegionId("luzon");
    settings.listen = {"127.0.0.1", 0};
    const RoleContext context{io,        settings, self,   *http,
                              *log,      *metrics, random, *control,
                              *follower, *peers,   vms};
    role = EntryRole::Make(context, reason);
    REQUIRE(role);
    hooks = role->hooks();
  }

  void ListTarget() {
    Batch batch;
    batch.producer = ProducerId{1, 2};
    batch.sequence = BatchSequence(1);
    batch.records.emplace_back(ConfigPublished{{}, kConfig, "test"});
    control->Apply(LogOffset(0), EncodeBatch(batch));
    vms.push_back({.id = VmId("t1"),
                   .kind = VmKind::kTarget,
                   .service = ServiceId("refill-desk"),
                   .data_centre = DataCentreId("bulacan"),
                   .region = RegionId("luzon"),
                   .rack = {},
                   .endpoint = {"127.0.0.1", target->port()},
                   .base_path = {},
                   .state = VmListState::kLive,
                   .slots = Slots(2),
                   .resources = {}});
    hooks.on_change();
    OwnershipDecision decision;
    decision.permit_until = TimePoint::max();
    decision.usable[TargetId("t1")] = Epoch(1);
    hooks.on_ownership(decision);
  }

  HttpResponse Call(std::vector<HttpHeader> headers) {
    std::optional<HttpResponse> response;
    bool done = false;
    const HttpRequest request{.method = "GET",
                              .path = "/refill-desk/quote",
                              .headers = std::move(headers),
                              .body = {}};
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void> {
          const Endpoint endpoint{"127.0.0.1", role->port()};
          response = co_await http->Call(endpoint, request,
                                         std::chrono::seconds(5), reason);
          done = true;
        },
        asio::detached);
    io.restart();
    while (!done)
      io.run_one();
    return response.value_or(
        HttpResponse{.status = 0, .headers = {}, .body = {}});
  }
};

TEST_CASE("an entry process serves callers", "[daemon]") {
  Fixture fixture;

  SECTION("not before it has read the configuration") {
    const HttpResponse response = fixture.Call({});
    CHECK(response.status == 503);
    CHECK(FindHeader(response.headers, kOutcomeHeader) == "not-run");
  }

  SECTION("from the targets that it owns") {
    fixture.ListTarget();
    CHECK(fixture.hooks.resources().count(TargetId("t1")) == 1);
    const HttpResponse response =
        fixture.Call({{"Cowslipmast-Request-Id", "a"}});
    CHECK(response.body == "/refill-desk/quote");
    CHECK(FindHeader(response.headers, kOutcomeHeader) == "answered");
    CHECK(FindHeader(response.headers, kRequestIdHeader) == "a");
    CHECK(fixture.hooks.free_slots().at(ServiceId("refill-desk")) == Slots(2));
    CHECK(fixture.hooks.dump()["targets"]["t1"]["in_flight"] == 0);
    CHECK(fixture.metrics->Render().find("cowslipmast_requests_total") !=
          std::string::npos);

    SECTION("but not a request with an invalid header") {
      const HttpResponse bad = fixture.Call({{"Cowslipmast-Deadline-Ms", "x"}});
      CHECK(bad.status == 400);
      CHECK(fixture.target->counters().requests == 1);
    }
    SECTION("until it drains") {
      fixture.hooks.begin_grace();
      CHECK(fixture.Call({}).closes_connection);
      CHECK_FALSE(fixture.hooks.drained());
      fixture.hooks.begin_drain();
      CHECK(fixture.hooks.drained());
      CHECK(fixture.Call({}).status == 0);
    }
  }
}

}  // namespace
}  // namespace cowslipmast
