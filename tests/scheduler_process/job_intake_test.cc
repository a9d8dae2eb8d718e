// Appends to a store that stops answering, in the test's thread. Guards against
// callers who are told that the outcome is unknown although the store never had
// their record, and against a refusal of a record that the store has.

#include "src/scheduler_process/job_intake.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

#include "src/scheduler_process/clock.h"

namespace cowslipmast::sched {
namespace {

using std::chrono::milliseconds;

// Holds each append back until the test ends it.
struct HeldStore {
  explicit HeldStore(asio::io_context& context) : io(context) {
    port.append = [this](AppendRequest request, StoreError& error) {
      return Append(std::move(request), error);
    };
  }

  asio::awaitable<bool> Append(AppendRequest request, StoreError& error) {
    for (const KeyedRecord& record : request.records)
      received.push_back(record.key);
    asio::steady_timer poll(io);
    while (!answer) {
      poll.expires_after(milliseconds(5));
      co_await poll.async_wait(asio::use_awaitable);
    }
    error.kind = StoreErrorKind::kUnknown;
    co_return *answer;
  }

  asio::io_context& io;
  StorePort port;
  std::optional<bool> answer;
  std::vector<std::string> received;
};

TEST_CASE("a store that stops answering during an append", "[intake]") {
  asio::io_context io;
  HeldStore store(io);
  const CellId cell(0);
  const auto intake =
      JobIntake::Make(io, store.port, SchedulerFeatures{.admission = true});
  const auto first = intake->Append(cell, {"first", "1"});
  io.run_for(milliseconds(20));
  REQUIRE(store.received == std::vector<std::string>{"first"});
  const auto second = intake->Append(cell, {"second", "1"});
  const auto third = intake->Append(cell, {"third", "1"});

  SECTION("does not have the records that wait for their append") {
    CHECK(intake->Withdraw(cell, *second));
    CHECK(second->result == IntakeResult::kRefused);

    SECTION("and never gets one that was taken back") {
      store.answer = true;
      io.run_for(milliseconds(50));
      CHECK(store.received == std::vector<std::string>{"first", "third"});
      CHECK(third->result == IntakeResult::kStored);
    }
  }
  SECTION("may have the record that it was sent, which is not taken back") {
    CHECK_FALSE(intake->Withdraw(cell, *first));
    CHECK_FALSE(first->result);
  }
  SECTION("and fails it: the waiting records are refused without being sent") {
    store.answer = false;
    io.run_for(milliseconds(50));
    CHECK(first->result == IntakeResult::kUnknown);
    CHECK(second->result == IntakeResult::kRefused);
    CHECK(third->result == IntakeResult::kRefused);
    CHECK(store.received == std::vector<std::string>{"first"});
    CHECK_FALSE(intake->IsStoreResponding());
  }
  SECTION("is given no more records by this process, to any cell") {
    CHECK(intake->IsStoreResponding());
    io.run_for(milliseconds(1600));
    CHECK_FALSE(intake->IsStoreResponding());
    store.answer = true;
    io.run_for(milliseconds(50));
    CHECK(intake->IsStoreResponding());
  }
  store.answer = true;
  io.run_for(milliseconds(50));
}

TEST_CASE("without admission control", "[intake]") {
  asio::io_context io;
  HeldStore store(io);
  const auto intake = JobIntake::Make(io, store.port, SchedulerFeatures());
  const auto first = intake->Append(CellId(0), {"first", "1"});
  io.run_for(milliseconds(20));
  const auto second = intake->Append(CellId(0), {"second", "1"});

  SECTION("waiting records are sent after a failed append, as before") {
    store.answer = false;
    io.run_for(milliseconds(50));
    CHECK(store.received == std::vector<std::string>{"first", "second"});
    CHECK(second->result == IntakeResult::kUnknown);
  }
  SECTION("records that would take too much memory together are refused") {
    const std::string value(250 * 1024, 'v');
    std::shared_ptr<PendingRecord> last;
    size_t taken = 0;
    for (; taken < 1000 && (!last || !last->result); ++taken)
      last = intake->Append(CellId(taken % 12), {"large", value});
    CHECK(last->result == IntakeResult::kRefused);
    CHECK(taken * value.size() <= kMaxUnstoredBytes + value.size());

    SECTION("until the store has taken them") {
      store.answer = true;
      io.run_for(milliseconds(200));
      const auto later = intake->Append(CellId(0), {"later", value});
      CHECK_FALSE(later->result);
    }
  }
  store.answer = true;
  io.run_for(milliseconds(50));
}

}  // namespace
}  // namespace cowslipmast::sched
