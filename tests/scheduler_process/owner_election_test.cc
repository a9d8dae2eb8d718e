// The owner election beside a store in the test's thread. Guards against a
// process that keeps reading the claims while it waits to claim a cell: with
// large records and little processor time its own read then never ends in time.
// And against a claim that nothing but a silent path called for: the owner may
// answer again during the claim delay, or other processes may reach it.

#include "src/scheduler_process/owner_election.h"

#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <thread>

#include "src/daemon/chart_files.h"
#include "src/net/http_server.h"
#include "src/scheduler_process/hearing_proof.h"
#include "src/scheduler_process/peer_health.h"

namespace cowslipmast::sched {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Holds the claims, and what the owner of the only cell tells of being reached.
struct ClaimStore {
  explicit ClaimStore(asio::io_context& context) : io(context) {
    port.append = [this](AppendRequest request,
                         StoreError&) -> asio::awaitable<bool> {
      records.insert(records.end(), request.records.begin(),
                     request.records.end());
      co_return true;
    };
    port.read_newest =
        [this](StoreStream,
               StoreError&) -> asio::awaitable<std::optional<TopicSnapshot>> {
      ++reads;
      asio::steady_timer timer(io);
      timer.expires_after(read_delay);
      co_await timer.async_wait(asio::use_awaitable);
      co_return TopicSnapshot{records, records.size()};
    };
    port.read_record =
        [this](StoreStream, std::string key,
               StoreError&) -> asio::awaitable<std::optional<KeyedRecord>> {
      ++looks;
      KeyedRecord record{std::move(key), ""};
      if (heard_age)
        record.value = EncodeHearingProof(
            {.epoch = Epoch(1), .number = ++proofs, .heard_age = *heard_age});
      co_return record;
    };
    port.follow =
        [this](StoreStream, uint64_t from, Duration wait,
               StoreError&) -> asio::awaitable<std::optional<TopicSnapshot>> {
      asio::steady_timer timer(io);
      timer.expires_after(wait);
      co_await timer.async_wait(asio::use_awaitable);
      co_return TopicSnapshot{{}, from};
    };
  }

  asio::io_context& io;
  StorePort port;
  std::vector<KeyedRecord> records;
  int reads = 0;
  /** Nothing: the owner is of an earlier version. */
  std::optional<Duration> heard_age;
  uint64_t proofs = 0;
  int looks = 0;
  Duration read_delay{0};
};

CellChart ReadCellChart() {
  ChartFileError error;
  std::string missing;
  const auto chart =
      LoadChart(std::string(COWSLIPMAST_CHARTS_DIR) + "/cell.toml", error);
  return *CellChart::Make(*chart, missing);
}

TEST_CASE("a process that claims its cell again after a restart",
          "[scheduler-process][election]") {
  asio::io_context io;
  const auto client = HttpClient::Make(io, HttpClientLimits{});
  OwnerElectionOptions options;
  options.process = ProcessId("edge-0");
  options.control = {"127.0.0.1", 9};
  options.cores = 0.02;  // waits for 2 s before a claim
  ClaimStore store(io);
  store.records = {
      MakeLayoutRecord({.version = kLayoutVersion, .cells = 1}),
      MakeClaimRecord(CellId(0), CellClaim{.epoch = Epoch(1),
                                           .process = options.process,
                                           .control = options.control,
                                           .released = false,
                                           .cores = options.cores})};
  bool won = false;
  OwnerElectionHooks hooks;
  hooks.on_won = [&](CellId, Epoch) { won = true; };
  hooks.may_claim = [] { return true; };
  hooks.own_lag = [] { return Duration(0); };
  hooks.count_cells = []() -> asio::awaitable<std::optional<uint32_t>> {
    co_return 1;
  };
  const auto election = OwnerElection::Make(io, store.port, *client,
                                            ReadCellChart(), options, hooks);
  election->Start();
  const auto end = std::chrono::steady_clock::now() + seconds(20);
  while (!won && std::chrono::steady_clock::now() < end)
    io.run_for(milliseconds(20));

  REQUIRE(won);
  // For the layout, by the follower, before the wait and after it.
  CHECK(store.reads <= 4);
}

// The owner of a cell, as another process hears it.
struct HeardOwner {
  explicit HeardOwner(asio::io_context& context) : io(context) {
    NetError error;
    server = HttpServer::Make(
        io, {"127.0.0.1", 0}, HttpServerLimits(),
        [this](HttpRequest) -> asio::awaitable<HttpResponse> {
          asio::steady_timer timer(io);
          while (silent) {
            timer.expires_after(milliseconds(10));
            co_await timer.async_wait(asio::use_awaitable);
          }
          co_return MakeJsonResponse(
              200, EncodePeerHealth({.epoch = Epoch(1),
                                     .owning = true,
                                     .proof_age = milliseconds(100),
                                     .response_timeout = Duration(0)}));
        },
        error);
  }

  Endpoint endpoint() const { return {"127.0.0.1", server->port()}; }

  asio::io_context& io;
  std::unique_ptr<HttpServer> server;
  bool silent = false;
};

TEST_CASE("a process that does not hear the owner of a cell for a while",
          "[scheduler-process][election]") {
  // The path to the owner is silent for longer than an owner may be, and works
  // again before the claim delay of a process far from the store is over.
  asio::io_context io;
  const auto client = HttpClient::Make(io, HttpClientLimits{});
  HeardOwner owner(io);
  OwnerElectionOptions options;
  options.process = ProcessId("edge-0");
  options.control = {"127.0.0.1", 9};
  options.cores = 0.02;  // waits for 2 s before a claim
  ClaimStore store(io);
  store.records = {
      MakeLayoutRecord({.version = kLayoutVersion, .cells = 1}),
      MakeClaimRecord(CellId(0), CellClaim{.epoch = Epoch(1),
                                           .process = ProcessId("edge-1"),
                                           .control = owner.endpoint(),
                                           .released = false,
                                           .cores = 0.02})};
  bool won = false;
  OwnerElectionHooks hooks;
  hooks.on_won = [&](CellId, Epoch) { won = true; };
  hooks.may_claim = [] { return true; };
  hooks.own_lag = [] { return Duration(0); };
  const auto election = OwnerElection::Make(io, store.port, *client,
                                            ReadCellChart(), options, hooks);
  election->Start();
  io.run_for(milliseconds(700));
  REQUIRE(election->OwnerResponseAge(CellId(0)));
  owner.silent = true;

  SECTION("leaves it the cell if it hears it again before it claims") {
    io.run_for(milliseconds(2500));
    REQUIRE_FALSE(won);
    owner.silent = false;
    io.run_for(milliseconds(2500));
    CHECK_FALSE(won);
    CHECK(election->owner(CellId(0))->epoch == Epoch(1));
  }
  SECTION(
      "leaves it the cell if it was itself paused until the owner answers") {
    io.run_for(milliseconds(2500));
    REQUIRE_FALSE(won);
    owner.silent = false;
    std::this_thread::sleep_for(seconds(3));
    io.run_for(milliseconds(2500));
    CHECK_FALSE(won);
  }
  SECTION("leaves it the cell if it answers while the claims are read slowly") {
    io.run_for(milliseconds(2500));
    REQUIRE_FALSE(won);
    const int reads = store.reads;
    store.read_delay = milliseconds(900);
    for (int i = 0; i < 300 && store.reads == reads; ++i)
      io.run_for(milliseconds(10));
    REQUIRE(store.reads > reads);
    owner.silent = false;
    io.run_for(milliseconds(2500));
    CHECK_FALSE(won);
  }
  SECTION("claims the cell otherwise") {
    io.run_for(milliseconds(5000));
    CHECK(won);
    CHECK(store.looks == 1);
  }
  SECTION("leaves it the cell while other processes reach it") {
    store.heard_age = milliseconds(100);
    io.run_for(milliseconds(5000));
    CHECK_FALSE(won);

    SECTION("but not for ever") {
      io.run_for(milliseconds(4500));
      CHECK(won);
    }
    SECTION("and for good once it hears it") {
      owner.silent = false;
      io.run_for(milliseconds(4500));
      CHECK_FALSE(won);
    }
  }
  SECTION("claims the cell if no other process reaches the owner either") {
    store.heard_age = seconds(3);
    io.run_for(milliseconds(5000));
    CHECK(won);
  }
}

}  // namespace
}  // namespace cowslipmast::sched
