// Guards against an owner that was suspended and sends messages of its time
// once it wakes: another owner has long taken its cell, and the cells that get
// them may have forgotten that their jobs were done.

#include "src/scheduler_process/message_sender.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace cowslipmast::sched {
namespace {

using std::chrono::milliseconds;

TEST_CASE("messages to other cells", "[scheduler_process]") {
  asio::io_context io;
  std::vector<std::string> appended;
  StorePort store;
  store.append = [&](AppendRequest request,
                     StoreError&) -> asio::awaitable<bool> {
    for (const KeyedRecord& record : request.records)
      appended.push_back(record.key);
    co_return true;
  };
  bool has_authority = true;
  size_t stored = 0;
  const auto sender = MessageSender::Make(
      io, store, [&] { return has_authority; },
      [&](const CellMessage&) { ++stored; });
  const auto send = [&](const std::string& key) {
    sender->Send({CellMessage{CellId(1), key, "value", {}}});
    io.restart();
    io.run_for(milliseconds(250));
  };
  send("t/a");
  REQUIRE(appended == std::vector<std::string>{"t/a"});

  SECTION("wait while the proof of ownership is too old") {
    has_authority = false;
    send("t/b");
    CHECK(appended.size() == 1);
    CHECK(stored == 1);
    SECTION("and go on with a new one") {
      has_authority = true;
      send("t/c");
      CHECK(appended == std::vector<std::string>{"t/a", "t/b", "t/c"});
      CHECK(stored == 3);
    }
    SECTION("and are dropped with the cell") {
      sender->Stop();
      has_authority = true;
      send("t/c");
      CHECK(appended.size() == 1);
    }
  }
}

}  // namespace
}  // namespace cowslipmast::sched
