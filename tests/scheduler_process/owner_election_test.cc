// The owner election beside a store in the test's thread. Guards against a
// process that keeps reading the claims while it waits to claim a cell: with
// large records and little processor time its own read then never ends in time.

#include "src/scheduler_process/owner_election.h"

#include <catch2/catch.hpp>

#include <memory>
#include <string>

#include "src/daemon/chart_files.h"

namespace cowslipmast::sched {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Holds one topic, that of the claims.
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
      co_return TopicSnapshot{records, records.size()};
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
};

CellChart ReadCellChart() {
  ChartFileError error;
  std::string missing;
  const auto chart =
      LoadChart(std::string(COWSLIPMAST_CHARTS_DIR) + "/cell.toml", error);
  return *CellChart::Make(*chart, missing);
}

TEST_CASE("a process that claims its cell again after a restart",
          "[scheduler-process]") {
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

}  // namespace
}  // namespace cowslipmast::sched
