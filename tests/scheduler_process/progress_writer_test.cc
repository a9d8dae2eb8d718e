// What an owner stores of being reached by other processes. Guards against an
// owner that loses its cell while only one path to it is silent, and against a
// price for it: the proof must cost no append of its own.

#include "src/scheduler_process/progress_writer.h"

#include <catch2/catch.hpp>

#include "src/scheduler_process/clock.h"
#include "src/scheduler_process/hearing_proof.h"

namespace cowslipmast::sched {
namespace {

using std::chrono::milliseconds;

struct AppendLog {
  StorePort MakePort() {
    StorePort port;
    port.append = [this](AppendRequest request,
                         StoreError&) -> asio::awaitable<bool> {
      requests.push_back(std::move(request));
      co_return true;
    };
    return port;
  }

  std::vector<HearingProof> Proofs() const {
    std::vector<HearingProof> proofs;
    for (const AppendRequest& request : requests) {
      for (const KeyedRecord& record : request.records) {
        if (record.key == kHearingKey)
          proofs.push_back(DecodeHearingProof(record.value).value());
      }
    }
    return proofs;
  }

  std::vector<AppendRequest> requests;
};

void Store(ProgressWriter& writer) {
  asio::io_context io;
  asio::co_spawn(
      io,
      [&]() -> asio::awaitable<void> {
        std::vector<ProgressRecord> records = {{"00000000000000aa.0", "x"}};
        const bool stored = co_await writer.Store(std::move(records));
        CHECK(stored);
      },
      asio::detached);
  io.run_for(milliseconds(200));
}

TEST_CASE("an owner that other processes reach", "[scheduler-process]") {
  AppendLog store;
  std::optional<TimePoint> heard_at = BootTimeNow() - milliseconds(900);
  ProgressWriter writer(store.MakePort(), CellId(0), Epoch(3),
                        [&] { return heard_at; });
  SECTION("stores how long ago, with what it stores anyway") {
    Store(writer);
    Store(writer);
    REQUIRE(store.requests.size() == 2);
    const auto proofs = store.Proofs();
    REQUIRE(proofs.size() == 1);
    CHECK(proofs[0].epoch == Epoch(3));
    CHECK(proofs[0].heard_age >= milliseconds(900));
    CHECK(proofs[0].heard_age < milliseconds(1500));
  }
  SECTION("stores it again later, under the next number") {
    Store(writer);
    asio::io_context io;
    asio::steady_timer timer(io, milliseconds(550));
    timer.wait();
    Store(writer);
    const auto proofs = store.Proofs();
    REQUIRE(proofs.size() == 2);
    CHECK(proofs[1].number > proofs[0].number);
    CHECK(proofs[1].heard_age > proofs[0].heard_age);
  }
  SECTION("stores nothing of it before the first one does") {
    heard_at.reset();
    Store(writer);
    CHECK(store.requests.size() == 1);
    CHECK(store.Proofs().empty());
  }
}

}  // namespace
}  // namespace cowslipmast::sched
