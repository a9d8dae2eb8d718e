#include "src/net/stream_follower.h"

#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "cowslipmast/fold.h"
#include "tests/net/fake_log_service.h"

namespace cowslipmast {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Clock = std::chrono::steady_clock;

StreamFollowerLimits MakeLimits() {
  StreamFollowerLimits limits;
  limits.poll_wait = milliseconds(50);
  limits.call_timeout = milliseconds(200);
  limits.read_back_timeout = milliseconds(200);
  limits.min_backoff = milliseconds(10);
  limits.max_backoff = milliseconds(100);
  limits.min_read_interval = milliseconds(10);
  limits.max_snapshot_delay = milliseconds(20);
  limits.snapshot_pause = milliseconds(100);
  limits.snapshot_entries = 20;
  limits.queued_records = 200;
  return limits;
}

Record MakeRecord(int number) {
  return VmStateSet{VmId("vm" + std::to_string(number)),
                    VmServiceState::kDraining, "test"};
}

/** A process that follows the stream. */
struct FollowerProcess {
  std::unique_ptr<HttpClient> http;
  std::unique_ptr<LogClient> client;
  std::unique_ptr<ControlFold> fold = ControlFold::Make();
  std::unique_ptr<StreamFollower> follower;

  FollowerProcess(asio::io_context& io,
                  const Endpoint& store,
                  uint64_t id,
                  const StreamFollowerLimits& limits = MakeLimits()) {
    http = HttpClient::Make(io, HttpClientLimits{});
    client = LogClient::Make(*http, store);
    StreamFold stream_fold{
        .next = [this] { return fold->state().next; },
        .apply = [this](const LogEntry& e) { fold->Apply(e.offset, e.data); },
        .restart = [this](LogOffset oldest) { fold->Restart(oldest); },
        .encode_snapshot = [this] { return fold->EncodeSnapshot(); },
        .changed = [] {},
        .complete = [this] { return fold->complete(); }};
    follower = StreamFollower::Make(io, *client, StreamId("s"), {id, id}, id,
                                    std::move(stream_fold), limits);
  }
  size_t vms() const { return fold->state().vm_states.size(); }
};

/** A log service and a process on one event loop. */
struct Fixture {
  asio::io_context io;
  FakeLogService log{io};
  FollowerProcess process{io, log.endpoint(), 1};
  size_t appended = 0;
  std::vector<AppendErrorKind> failures;

  // Runs the event loop until `done` returns true or the time is over.
  template <typename Done>
  bool RunUntil(Done done, Duration limit = seconds(5)) {
    const auto until = Clock::now() + limit;
    while (!done() && Clock::now() < until) {
      io.restart();
      io.run_one_for(milliseconds(5));
    }
    return done();
  }
  void Run(Duration time) {
    RunUntil([] { return false; }, time);
  }
  // Starts an append; the result is counted in `appended` or `failures`.
  void Append(int number, Duration timeout = seconds(5)) {
    asio::co_spawn(io, RunAppend({MakeRecord(number)}, timeout),
                   asio::detached);
  }
  asio::awaitable<void> RunAppend(std::vector<Record> records,
                                  Duration timeout) {
    AppendError reason;
    const bool done =
        co_await process.follower->Append(std::move(records), timeout, reason);
    if (done)
      ++appended;
    else
      failures.push_back(reason.kind);
  }
};

TEST_CASE("a follower appends and reads back", "[net]") {
  Fixture f;
  f.process.follower->Start();
  f.Append(1);
  REQUIRE(f.RunUntil([&] { return f.appended == 1; }));
  CHECK(f.process.vms() == 1);
  CHECK(f.RunUntil([&] { return f.process.follower->caught_up(); }));
  CHECK(f.process.follower->proof());

  SECTION("records queued during an append are sent as one batch") {
    f.log.delay = milliseconds(30);
    for (int i = 0; i < 50; ++i)
      f.Append(i);
    REQUIRE(f.RunUntil([&] { return f.appended == 51; }));
    CHECK(f.log.appends <= 3);
    CHECK(f.process.vms() == 50);
  }
  SECTION("a lost reply does not apply the records twice") {
    f.log.lost_replies = 1;
    f.Append(2);
    REQUIRE(f.RunUntil([&] { return f.appended == 2; }));
    f.Append(3);
    REQUIRE(f.RunUntil([&] { return f.appended == 3; }));
    f.Run(milliseconds(100));
    CHECK(f.process.fold->counters().records == 3);
  }
  SECTION("an append is retried after its caller has timed out") {
    f.log.refuse_appends = true;
    f.Append(2, milliseconds(50));
    REQUIRE(f.RunUntil([&] { return !f.failures.empty(); }));
    CHECK(f.failures[0] == AppendErrorKind::kTimeout);
    f.log.refuse_appends = false;
    CHECK(f.RunUntil([&] { return f.process.vms() == 2; }));
  }
  SECTION("stopping ends pending appends with unknown outcome") {
    f.log.refuse_appends = true;
    f.Append(2);
    f.Run(milliseconds(20));
    f.process.follower->Stop();
    f.Append(3);
    REQUIRE(f.RunUntil([&] { return f.failures.size() == 2; }));
    CHECK(f.failures[0] == AppendErrorKind::kStopped);
    CHECK(f.failures[1] == AppendErrorKind::kStopped);
  }
}

TEST_CASE("a failing or slow store is not flooded with requests", "[net]") {
  // Guards against busy loops of requests to the store or in the process.
  Fixture f;
  f.process.follower->Start();
  REQUIRE(f.RunUntil([&] { return f.process.follower->caught_up(); }));
  const uint64_t before = f.log.requests;

  SECTION("when it is down") {
    f.log.down = true;
    f.Append(1);
    f.Run(seconds(1));
    CHECK(f.log.requests - before < 50);
    const auto proof = f.process.follower->proof();
    f.Run(milliseconds(100));
    CHECK(f.process.follower->proof() == proof);
    f.log.down = false;
    CHECK(f.RunUntil([&] { return f.appended == 1; }));
  }
  SECTION("when it is unresponsive") {
    f.log.delay = seconds(60);
    f.Run(seconds(1));
    CHECK(f.log.requests - before < 10);
  }
  SECTION("when it does not block long polls") {
    f.log.long_polls = false;
    f.Run(milliseconds(500));
    CHECK(f.log.requests - before < 60);
  }
  SECTION("and the queue is bounded") {
    f.log.down = true;
    for (int i = 0; i < 500; ++i)
      f.Append(i);
    f.Run(milliseconds(50));
    // At most as many again are in flight.
    CHECK(std::count(f.failures.begin(), f.failures.end(),
                     AppendErrorKind::kQueueFull) >= 100);
  }
}

TEST_CASE("snapshots replace expired entries", "[net]") {
  Fixture f;
  f.process.follower->Start();
  for (int i = 0; i < 21; ++i) {
    f.Append(i);
    REQUIRE(f.RunUntil([&] { return f.appended == size_t(i) + 1; }));
  }
  REQUIRE(f.RunUntil(
      [&] { return f.process.fold->state().next == LogOffset(22); }));
  CHECK(f.process.follower->counters().snapshots == 1);

  const uint64_t next = f.process.fold->state().next.value();
  const std::string state = f.process.fold->EncodeSnapshot();
  const auto cut_off_while_others_append = [&f](int entries) {
    f.log.down = true;
    f.Append(99);
    f.Run(milliseconds(100));
    for (int i = 0; i < entries; ++i)
      f.log.store.Append("s", "foreign");
    // The store drops entries only once. If it always kept two, the append of
    // this test could drop an entry that the snapshot does not cover before the
    // follower reads it, and the state would correctly stay incomplete.
    f.log.store.Retain(2);
    f.log.store.Retain(100);
    f.log.down = false;
    REQUIRE(f.RunUntil(
        [&] { return f.process.follower->counters().restarts == 1; }));
  };

  SECTION("for a new process") {
    f.log.store.Retain(1);
    FollowerProcess late(f.io, f.log.endpoint(), 2);
    late.follower->Start();
    REQUIRE(f.RunUntil([&] { return late.follower->caught_up(); }));
    CHECK(late.fold->Digest() == f.process.fold->Digest());
    CHECK(late.follower->counters().restarts == 1);
  }
  SECTION("for a process that was disconnected for too long") {
    cut_off_while_others_append(3);
    f.Run(milliseconds(300));
    // Without a snapshot the state is incomplete, and the append of this
    // process, which the store already has, is not known to be folded.
    CHECK_FALSE(f.process.fold->complete());
    CHECK_FALSE(f.process.follower->proof());
    CHECK(f.appended == 21);
    f.log.store.Append("s", EncodeBatch({{9, 9},
                                         BatchSequence(1),
                                         {Snapshot{LogOffset(next), state}}}));
    REQUIRE(f.RunUntil([&] { return f.appended == 22; }));
    CHECK(f.process.vms() == 22);
    CHECK(f.process.follower->proof());
  }
  SECTION("unless an entry after the snapshot was dropped as well") {
    cut_off_while_others_append(4);
    f.log.store.Append("s", EncodeBatch({{9, 9},
                                         BatchSequence(1),
                                         {Snapshot{LogOffset(next), state}}}));
    f.Run(milliseconds(300));
    CHECK_FALSE(f.process.fold->complete());
    CHECK_FALSE(f.process.follower->proof());
    CHECK(f.appended == 21);
  }
}

TEST_CASE("reads from a peer replace reads from the store", "[net]") {
  Fixture f;
  f.process.follower->Start();
  f.Append(1);
  REQUIRE(f.RunUntil([&] { return f.appended == 1; }));
  FollowerProcess second(f.io, f.log.endpoint(), 2);
  bool silent = false;
  second.follower->SetPeerSource(
      [&](StreamId, LogOffset from, uint32_t max_entries,
          Duration wait) -> asio::awaitable<std::optional<LogPage>> {
        if (silent) {
          asio::steady_timer timer(f.io, seconds(60));
          co_await timer.async_wait(asio::use_awaitable);
        }
        std::optional<LogPage> page =
            co_await f.process.follower->ServePeer(from, max_entries, wait);
        co_return page;
      });
  second.follower->Start();
  REQUIRE(f.RunUntil([&] { return second.follower->caught_up(); }));

  SECTION("with the same entries and a proof as old as the peer's") {
    f.Append(2);
    REQUIRE(f.RunUntil([&] { return second.vms() == 2; }));
    f.Run(milliseconds(200));
    CHECK(second.follower->counters().reads == 0);
    CHECK(second.follower->proof() <= f.process.follower->proof());
    CHECK(Clock::now() - *second.follower->proof() < milliseconds(300));
  }
  SECTION("until the peer is unresponsive") {
    silent = true;
    f.Append(2);
    REQUIRE(f.RunUntil([&] { return second.vms() == 2; }));
    CHECK(second.follower->counters().reads > 0);
  }
  SECTION("until the pages of the peer are old") {
    // Guards against a peer that has lost the store but still serves pages, so
    // that others do not read from the store either.
    f.process.follower->Stop();
    f.log.store.Append("s", "foreign");
    CHECK(
        f.RunUntil([&] { return second.fold->state().next == LogOffset(2); }));
  }
  SECTION("but not for entries that the peer no longer has") {
    f.Run(milliseconds(50));
    std::optional<LogPage> page;
    bool done = false;
    asio::co_spawn(
        f.io,
        [&]() -> asio::awaitable<void> {
          page = co_await f.process.follower->ServePeer(LogOffset(9), 1,
                                                        milliseconds(1));
          done = true;
        },
        asio::detached);
    REQUIRE(f.RunUntil([&] { return done; }));
    CHECK_FALSE(page);
  }
}

}  // namespace
}  // namespace cowslipmast
